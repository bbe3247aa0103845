/** Types of the calls by which instances follow the store through one of them. */

/** Versions of the store up to which a follower knows the collections, by their names. */
export type FollowPositions = Record<string, string>;

/** What one instance asks another. */
export interface FollowRequest {
  positions: FollowPositions;
  /** Milliseconds for which the answer may wait for changes. */
  waitMs: number;
}

/** A change as the store sent it; its value is not checked yet. */
export type PassedOnChange =
  | { type: 'changed'; object: { name: string; version: string; value: unknown } }
  | { type: 'removed'; name: string };

/** What the asked instance knows of one collection. */
export type FollowedCollection =
  | {
      version: string;
      /** Milliseconds since the store confirmed that version. */
      ageMs: number;
      changes: PassedOnChange[];
    }
  /** The changes have to be asked for at the store. */
  | 'ask-store';

/** Answer to a {@link FollowRequest}; collections of which nothing new is known are absent. */
export interface FollowAnswer {
  collections: Record<string, FollowedCollection>;
  /** Milliseconds for which the call waited. */
  heldMs: number;
}
