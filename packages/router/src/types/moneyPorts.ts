/** Interfaces through which the budget services use the platform's object store and the peers. */

import type {
  AccountId,
  DataCentreId,
  IncarnationId,
  JournalLine,
  JournalState,
  Tokens,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Why a store operation failed. The codes are those of the platform client. */
export type StoreErrorCode =
  'conflict' | 'exists' | 'not-found' | 'unreachable' | 'too-large' | 'invalid' | 'too-old';

/** Fields of a platform error that the budget services read. */
export interface StoreError {
  readonly code: StoreErrorCode;
  readonly message: string;
}

/** A stored object. `version` increases with every write to the store, across all objects. */
export interface StoredObject {
  name: string;
  version: string;
  value: unknown;
}

/** Object store with conditional updates. The client of the platform package satisfies it. */
export interface ObjectStore {
  get(collection: string, name: string): Promise<Result<StoredObject, StoreError>>;
  list(collection: string): Promise<Result<StoredObject[], StoreError>>;
  create(
    collection: string,
    name: string,
    value: unknown,
  ): Promise<Result<StoredObject, StoreError>>;
  update(
    collection: string,
    name: string,
    version: string,
    value: unknown,
  ): Promise<Result<StoredObject, StoreError>>;
}

/**
 * Why a call to a peer failed. `unreachable` includes a lost reply, after which the peer may have
 * carried out the call. `refused` means that the peer rejected the call and did not carry it out.
 */
export type PeerFault = 'unreachable' | 'refused';

/** The journal after an append. Bills and outcomes are left out: the holder does not need them. */
export interface AppendAnswer {
  /** Version of the platform object that contains `state`. */
  version: string;
  state: JournalState;
}

/** Calls to the budget services of peers. The mesh transports them. */
export interface MoneyPeers {
  /** Asks the committer to append lines to the journal. Resolves once they are stored. */
  appendLines(peer: IncarnationId, lines: JournalLine[]): Promise<Result<AppendAnswer, PeerFault>>;
  /** Asks a witness to store lines in its memory. */
  keepLines(witness: IncarnationId, lines: JournalLine[]): Promise<Result<'kept', PeerFault>>;
  /** Asks a witness to accept no more lines of a holder and to return those that it stores. */
  fenceHolder(
    witness: IncarnationId,
    holder: IncarnationId,
  ): Promise<Result<JournalLine[], PeerFault>>;
  /**
   * Asks a peer to return tokens that it does not use. They go to the pool when `forDataCentre` is
   * the peer's own data centre, and otherwise to the ledger. Resolves with the amount returned.
   */
  recall(
    peer: IncarnationId,
    account: AccountId,
    amount: Tokens,
    forDataCentre: DataCentreId,
  ): Promise<Result<Tokens, PeerFault>>;
}

/** Handles the calls of {@link MoneyPeers} that peers make. The procedures of the mesh call it. */
export interface MoneyPeerHandler {
  handleAppendLines(lines: JournalLine[]): Promise<Result<AppendAnswer, PeerFault>>;
  handleKeepLines(lines: JournalLine[]): Result<'kept', PeerFault>;
  handleFenceHolder(holder: IncarnationId): Result<JournalLine[], PeerFault>;
  handleRecall(
    account: AccountId,
    amount: Tokens,
    forDataCentre: DataCentreId,
  ): Promise<Result<Tokens, PeerFault>>;
}
