/** Public types of the Object API client. */

import type { ZodType } from 'zod';

/** Collections that this system keeps in a store with the Object API. */
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
 * A collection and the schema of its values.
 *
 * @example
 * const ledgers: Collection<LedgerPage> = { name: 'ledgers', schema: ledgerPageSchema };
 */
export interface Collection<T> {
  /** One of {@link CollectionName}, or a collection of the store that an adapter connects to. */
  name: string;
  /** Validates each value that is read, so that no malformed value is used. */
  schema: ZodType<T>;
  /** Returns the JSON value to store, where it differs from the value in use. @default the value itself */
  encode?(value: T): unknown;
  /** Whether an object may have a name; needed where others choose the names. @default every name */
  isName?: (name: string) => boolean;
}

/** One object with the version that a conditional update must state. */
export interface VersionedObject<T> {
  name: string;
  /** Decimal digits of a counter that the whole store shares; orders all changes. */
  version: string;
  value: T;
}

/** All objects of a collection at one version of the store. */
export interface ObjectList<T> {
  version: string;
  items: VersionedObject<T>[];
  /** Names of objects whose names or values are not valid; the other objects stay usable. */
  invalid: string[];
}

/** An event of a watch. */
export type WatchEvent<T> =
  | { type: 'changed'; object: VersionedObject<T> }
  | { type: 'removed'; name: string; version: string }
  /** The whole collection: sent first if the watch has no version, and again if it was too old. */
  | { type: 'listed'; list: ObjectList<T> }
  /** A changed object whose name or value is not valid. */
  | { type: 'invalid'; name: string; version: string };

/** Options of a watch. */
export interface WatchOptions<T> {
  /** Last version that the caller knows; if absent, the watch begins with a list. */
  from?: string;
  /** Milliseconds without data after which the watch is reopened. @default the store's setting */
  idleMs?: number;
  /**
   * Milliseconds that the watch pauses after changes. For stores that answer a call as soon as
   * there is one change: changes made close together then arrive in one answer. @default 0
   */
  batchMs?: number;
  onEvent: (event: WatchEvent<T>) => void;
  /**
   * Called whenever the store confirms that all changes so far were delivered.
   *
   * @param ageMs milliseconds since it did, if the word came through a peer; 0 otherwise.
   */
  onUpToDate?: (ageMs: number) => void;
  /** Called when the watch fails; it is retried after a back-off. */
  onBreak?: (reason: string) => void;
}

/** A running watch. */
export interface Subscription {
  /** Ends the watch; no event is delivered after this call returns. */
  stop(): void;
}

/** Options of one call. */
export interface CallOptions {
  /** Aborts the call. An aborted write may still take effect. */
  signal?: AbortSignal;
  /** Milliseconds. @default the store's timeout */
  timeoutMs?: number;
}

/** Options of one read. */
export interface ReadOptions extends CallOptions {
  /** Whether the answer may be some seconds old; a store may charge less for such reads. */
  stale?: boolean;
}

/** Kinds of calls, as the platform counts them. */
export type CallKind = 'get' | 'list' | 'create' | 'update' | 'remove' | 'watch' | 'instances';

/** Calls of one kind that were sent for one collection since the start. */
export interface CollectionCalls {
  kind: CallKind;
  collection: string;
  sent: number;
}

/** Numbers of calls sent and failed since the start, by kind. */
export type CallCounters = Record<CallKind, { sent: number; failed: number }>;
