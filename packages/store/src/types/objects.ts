/** Objects of the platform's Object API as its callers see them. */

import type { ZodType } from 'zod';

/** Collections that the system keeps in the object store of its own interface. */
export type CollectionName =
  | 'declarations'
  | 'audits'
  | 'ledgers'
  | 'journals'
  | 'segments'
  | 'claims'
  | 'quarantines'
  | 'orders';

/**
 * A collection with the shape of its values.
 *
 * @example
 * const ledgers: Collection<LedgerPage> = { name: 'ledgers', schema: ledgerPageSchema };
 */
export interface Collection<T> {
  /** One of {@link CollectionName}, or a collection of the store that an adapter speaks to. */
  name: string;
  /** Checks each value that is read, so that a foreign or damaged value never gets in. */
  schema: ZodType<T>;
}

/** One object with the version that a conditional update must name. */
export interface VersionedObject<T> {
  name: string;
  /** Decimal digits from one counter of the whole store; orders all changes. */
  version: string;
  value: T;
}

/** All objects of a collection at one version of the store. */
export interface ObjectList<T> {
  version: string;
  items: VersionedObject<T>[];
  /** Names of objects that the schema refused; the others stay usable. */
  invalid: string[];
}

/** What a watch reports. */
export type WatchEvent<T> =
  | { type: 'changed'; object: VersionedObject<T> }
  | { type: 'removed'; name: string; version: string }
  /** The whole collection: at the start without a version, and when the version was too old. */
  | { type: 'listed'; list: ObjectList<T> }
  /** A changed object that the schema refused. */
  | { type: 'invalid'; name: string; version: string };

/** Where a watch begins and where its events go. */
export interface WatchOptions<T> {
  /** Last version already seen; absent to begin with a list. */
  from?: string;
  /** Milliseconds for which the watch may be silent. @default that of the store */
  idleMs?: number;
  /**
   * Milliseconds that the watch pauses after changes, so that those that come together are told by one
   * answer of a store whose calls are answered with the first change. @default 0
   */
  gatherMs?: number;
  onEvent: (event: WatchEvent<T>) => void;
  /** Called whenever the store said that what was delivered so far is complete. */
  onHeard?: () => void;
  /** Called when the watch broke; it is tried again after a back-off. */
  onBreak?: (reason: string) => void;
}

/** A running watch. */
export interface Subscription {
  /** Ends the watch; no event is delivered after it returns. */
  stop(): void;
}

/** Options of one call. */
export interface CallOptions {
  /** Gives the call up. A write given up may still take effect. */
  signal?: AbortSignal;
  /** Milliseconds. @default the store's timeout */
  timeoutMs?: number;
}

/** Options of one read. */
export interface ReadOptions extends CallOptions {
  /** Whether the answer may be some seconds old, which a store may serve at a lower price. */
  stale?: boolean;
}

/** Kinds of calls, as the platform counts them. */
export type CallKind = 'get' | 'list' | 'create' | 'update' | 'remove' | 'watch' | 'instances';

/** Calls sent to the platform since the start, by kind. */
export type CallCounters = Record<CallKind, { sent: number; failed: number }>;
