/** Interface of the platform store that the operators' command needs. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Collections that the command reads or writes. */
export type OperatorCollection =
  'declarations' | 'audits' | 'ledgers' | 'journals' | 'segments' | 'orders';

/** An object with the version that a conditional update must give. */
export interface StoredObject {
  name: string;
  version: string;
  value: unknown;
}

export type StoreErrorCode =
  'conflict' | 'exists' | 'not-found' | 'unreachable' | 'too-large' | 'throttled' | 'invalid';

/** Error of a call. After `unreachable`, a write may still have taken effect. */
export interface StoreError {
  code: StoreErrorCode;
  message: string;
}

export type StoreReply<T> = Promise<Result<T, StoreError>>;

/** Versioned objects with conditional updates, and the instance list. */
export interface OperatorStore {
  get(collection: OperatorCollection, name: string): StoreReply<StoredObject>;
  list(collection: OperatorCollection): StoreReply<StoredObject[]>;
  create(collection: OperatorCollection, name: string, value: unknown): StoreReply<StoredObject>;
  update(
    collection: OperatorCollection,
    name: string,
    version: string,
    value: unknown,
  ): StoreReply<StoredObject>;
  remove(collection: OperatorCollection, name: string, version: string): StoreReply<unknown>;
  listInstances(service: string): StoreReply<InstanceRecord[]>;
}
