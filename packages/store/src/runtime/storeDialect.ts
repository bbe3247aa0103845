/** How an object store speaks: the form of its calls, answers and watches. */

import type { HttpAnswer, HttpCall } from '@flamingocourse/kernel';
import type { Agent } from 'node:http';
import type { Result } from 'true-myth';
import type { CallKind } from '../types/objects.js';
import type { PlatformError } from '../utils/platformError.js';

/** A call as the store wants it. */
export interface StoreRequest {
  method: HttpCall['method'];
  /** Path and query. */
  path: string;
  /** JSON text. */
  body?: string;
}

/** An object before its value was checked. */
export interface WireObject {
  name: string;
  /** Decimal digits from the store's one counter. */
  version: string;
  value: unknown;
}

/** Part of a list. */
export interface ListPage {
  items: WireObject[];
  version: string;
  /** Name after which the next part begins; absent on the last. */
  next?: string;
}

/** A change that a watch told of. */
export type WireChange =
  { type: 'changed'; object: WireObject } | { type: 'removed'; name: string };

/** Why a watch connection is over. `answered`: it told what it had; the next one goes on from there. */
export type WatchEnd =
  'answered' | 'ended' | 'stopped' | 'too-old' | 'throttled' | 'refused' | 'broken' | 'silent';

/** A watch connection to open. */
export interface WatchCall {
  /** Base URL of the store. */
  url: string;
  collection: string;
  /** Version already seen. */
  version: string;
  agent: Agent;
  signal: AbortSignal;
  /** Milliseconds of silence after which a healthy store would have said something. */
  idleMs: number;
  /** Gets the changes and the version up to which all are known. */
  onChanges: (changes: WireChange[], version: string) => void;
}

/** Form of the calls and answers of one kind of store. */
export abstract class StoreDialect {
  /** @param stale whether the answer may be some seconds old. */
  abstract get(collection: string, name: string, stale?: boolean): StoreRequest;
  /** The cheapest call whose answer shows that the store serves this instance. */
  abstract probe(): StoreRequest;
  abstract list(collection: string, after?: string, stale?: boolean): StoreRequest;
  abstract create(collection: string, name: string, value: unknown): StoreRequest;
  abstract update(collection: string, name: string, version: string, value: unknown): StoreRequest;
  abstract remove(collection: string, name: string, version: string): StoreRequest;

  abstract parseObject(answer: HttpAnswer): Result<WireObject, PlatformError>;
  abstract parseList(answer: HttpAnswer): Result<ListPage, PlatformError>;
  /** Turns a status other than success into an error. */
  abstract toError(kind: CallKind, answer: HttpAnswer): PlatformError;

  /** Follows changes over one connection; never rejects. */
  abstract follow(call: WatchCall): Promise<WatchEnd>;
}
