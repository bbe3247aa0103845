/** Seams between the budget services and what they need: the platform's store and the peers. */

import type {
  AccountId,
  DataCentreId,
  IncarnationId,
  JournalLine,
  JournalState,
  Tokens,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Why the store did not do what was asked; the codes are those of the platform client. */
export type StoreErrorCode =
  'conflict' | 'exists' | 'not-found' | 'unreachable' | 'too-large' | 'invalid' | 'too-old';

/** The part of a platform error that the budget services read. */
export interface StoreError {
  readonly code: StoreErrorCode;
  readonly message: string;
}

/** An object as stored; `version` orders all changes of the store. */
export interface StoredObject {
  name: string;
  version: string;
  value: unknown;
}

/** Objects with conditional updates. The platform package's client has this shape. */
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
 * Why a peer did not do what was asked. `unreachable` includes a lost reply, after which the peer
 * may have done it; `refused` means that it did not and will not.
 */
export type PeerFault = 'unreachable' | 'refused';

/** The journal after an append, without bills and outcomes, which the holder does not need. */
export interface AppendAnswer {
  /** Version of the platform object that `state` was written as. */
  version: string;
  state: JournalState;
}

/** What a router asks of the budget services of its peers; the mesh carries it. */
export interface MoneyPeers {
  /** Asks the committer to put lines into the journal; resolves once they are in it. */
  appendLines(peer: IncarnationId, lines: JournalLine[]): Promise<Result<AppendAnswer, PeerFault>>;
  /** Asks a witness to keep lines in memory. */
  keepLines(witness: IncarnationId, lines: JournalLine[]): Promise<Result<'kept', PeerFault>>;
  /** Asks a witness to keep nothing more for a holder and to return what it has kept. */
  fenceHolder(
    witness: IncarnationId,
    holder: IncarnationId,
  ): Promise<Result<JournalLine[], PeerFault>>;
  /**
   * Asks a peer to give idle tokens back, to the pool when `forDataCentre` is its own and else to
   * the ledger; resolves with the amount that it made available.
   */
  recall(
    peer: IncarnationId,
    account: AccountId,
    amount: Tokens,
    forDataCentre: DataCentreId,
  ): Promise<Result<Tokens, PeerFault>>;
}

/** The same four questions as asked by a peer; the mesh's procedures call these. */
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
