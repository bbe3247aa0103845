/** Budget, bills, tickets and claims of one router, behind the interface of the request path. */

import type { JournalLine, Refusal, TicketId, Tokens } from '@flamingocourse/core';
import type { ClaimAnswer, Reservation, TicketResolution } from '../../types/money.js';
import type {
  AppendAnswer,
  MoneyPeerHandler,
  MoneyPeers,
  ObjectStore,
  PeerFault,
} from '../../types/moneyPorts.js';
import type { RouterContext } from '../../types/routerContext.js';
import { Result } from 'true-myth';
import { Money } from '../../types/money.js';

/** What the budget services are created with. `fleet` and `configuration` come from the kernel. */
export interface MoneyServiceOptions {
  context: RouterContext;
  store: ObjectStore;
  peers: MoneyPeers;
}

/** Implements {@link Money} on the journal and the ledger. Every answer is a refusal as yet. */
export class MoneyService extends Money implements MoneyPeerHandler {
  override readonly dependsOn = ['fleet', 'configuration'];

  constructor(readonly options: MoneyServiceOptions) {
    super();
  }

  override get ready(): boolean {
    return false;
  }

  override start(): void {
    // nothing to start yet
  }

  override stop(): void {
    // nothing to stop yet
  }

  override nextTicket(): TicketId {
    return { issuer: '', number: 0 };
  }

  override reserve(): Promise<Result<Reservation, Refusal>> {
    return Promise.resolve(Result.err(notReady()));
  }

  override bill(): Promise<Result<'kept', Refusal>> {
    return Promise.resolve(Result.err(notReady()));
  }

  override release(): void {
    // nothing is reserved yet
  }

  override recordIntent(): Promise<Result<'kept', Refusal>> {
    return Promise.resolve(Result.err(notReady()));
  }

  override recordNotRun(): void {
    // nothing is recorded yet
  }

  override claim(): Promise<ClaimAnswer> {
    return Promise.resolve({ type: 'unreachable' });
  }

  override resolveTicket(): Promise<TicketResolution> {
    return Promise.resolve({ type: 'unknown' });
  }

  override takeOverClaim(): Promise<ClaimAnswer> {
    return Promise.resolve({ type: 'unreachable' });
  }

  handleAppendLines(): Promise<Result<AppendAnswer, PeerFault>> {
    return Promise.resolve(Result.err('refused'));
  }

  handleKeepLines(): Result<'kept', PeerFault> {
    return Result.err('refused');
  }

  handleFenceHolder(): Result<JournalLine[], PeerFault> {
    return Result.err('refused');
  }

  handleRecall(): Promise<Result<Tokens, PeerFault>> {
    return Promise.resolve(Result.err('refused'));
  }
}

function notReady(): Refusal {
  return { reason: 'not-ready', run: 'not-run', detail: 'The router is starting; try again.' };
}
