/** Protocol of one kind of object store: its calls, answers and watches. */

import type { BodyBuffers, HttpAnswer, HttpCall } from '@flamingocourse/kernel';
import type { Agent } from 'node:http';
import type { Result } from 'true-myth';
import type { CallKind } from '../types/objects.js';
import type { PlatformError } from '../utils/platformError.js';

/** An HTTP request to the store. */
export interface StoreRequest {
  method: HttpCall['method'];
  /** Path and query. */
  path: string;
  /** JSON text. */
  body?: string;
}

/** An object whose value is not validated yet. */
export interface WireObject {
  name: string;
  /** Decimal digits of a counter that the whole store shares. */
  version: string;
  value: unknown;
}

/** One page of a list. */
export interface ListPage {
  items: WireObject[];
  version: string;
  /** Name after which the next page begins; absent on the last page. */
  next?: string;
}

/** A change that a watch delivered. */
export type WireChange =
  { type: 'changed'; object: WireObject } | { type: 'removed'; name: string };

/**
 * Why a watch connection ended. `answered`: all changes were delivered; the next call continues
 * after them.
 */
export type WatchEndReason =
  'answered' | 'ended' | 'stopped' | 'too-old' | 'throttled' | 'refused' | 'broken' | 'silent';

/** Options of a watch connection. */
export interface WatchCall {
  /** Base URL of the store. */
  url: string;
  collection: string;
  /** Version after which the watch begins. */
  version: string;
  agent: Agent;
  /** Counts the bytes held for answers of the store. */
  buffers: BodyBuffers;
  signal: AbortSignal;
  /** Idle timeout in milliseconds; a healthy store sends something within it. */
  idleMs: number;
  /** Receives changes, and the version up to which all changes are then known. */
  onChanges: (changes: WireChange[], version: string) => void;
}

/** Requests and answers of one kind of store. */
export abstract class StoreDialect {
  /** @param stale whether the answer may be some seconds old. */
  abstract get(collection: string, name: string, stale?: boolean): StoreRequest;
  /** The cheapest request whose answer shows that the store serves this instance. */
  abstract probe(): StoreRequest;
  abstract list(collection: string, after?: string, stale?: boolean): StoreRequest;
  abstract create(collection: string, name: string, value: unknown): StoreRequest;
  abstract update(collection: string, name: string, version: string, value: unknown): StoreRequest;
  abstract remove(collection: string, name: string, version: string): StoreRequest;

  abstract parseObject(answer: HttpAnswer): Result<WireObject, PlatformError>;
  abstract parseList(answer: HttpAnswer): Result<ListPage, PlatformError>;
  /** Converts a status other than success into an error. */
  abstract toError(kind: CallKind, answer: HttpAnswer): PlatformError;

  /** Receives changes over one connection until it ends; never rejects. */
  abstract follow(call: WatchCall): Promise<WatchEndReason>;
}
