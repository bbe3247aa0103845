/**
 * Runs one request to its end.
 *
 * The order of the steps matters:
 * - The reservation comes before anything is sent, so that no engine can exceed the budget.
 * - The claim and the intent of a non-idempotent request come before its dispatch, so that no other
 *   router runs it too.
 * - The bill is stored before the caller gets the final event, so that a router that crashes has
 *   either billed the request or not completed the answer.
 */

import type { Refusal, TicketId } from '@flamingocourse/core';
import type { Metrics } from '@flamingocourse/kernel';
import type { Money, Reservation } from '../../types/money.js';
import type { TicketCodec } from '../../types/ticketCodec.js';
import type { CallerRequest } from './callerRequest.js';
import type { Execution, ExecutionTable } from './executionTable.js';
import type { AnswerEnd } from './liveAnswer.js';
import type { UnusedTickets } from './unusedTickets.js';
import type { Work, WorkContext, WorkEnd } from './work.js';
import { runInBackground } from '@flamingocourse/kernel';
import { notRun } from '../../utils/problem.js';
import { ChatWork } from './chatWork.js';
import { confirmAtIssuer } from './forward.js';
import { LiveAnswer } from './liveAnswer.js';
import { PlainWork } from './plainWork.js';
import { cancelledEnd, keyReused, notConfirmed, endWithUnknownRun } from './requestRefusals.js';
import { outcomeUnknown } from './work.js';

/** Largest answer of a plain service that is stored for retries after a router crash, in bytes. */
const MAX_STORED_ANSWER_BYTES = 8_192;

/**
 * How the request is billed: `skip` if another ticket of the same key is billed; `bill-provisionally`
 * if the claim cannot be read now and is settled later.
 */
type Billing = 'bill' | 'bill-provisionally' | 'skip';

/** Dependencies of an executor, shared by all executions. */
export interface ExecutorOptions {
  money: Money;
  tickets: TicketCodec;
  table: ExecutionTable;
  unused: UnusedTickets;
  metrics: Metrics;
  work: WorkContext;
  /** Receives unexpected errors of the router's own code; the caller still gets an answer. */
  onFailure: (err: unknown) => void;
}

/** Runs requests that already have a ticket. */
export class Executor {
  readonly #options: ExecutorOptions;

  constructor(options: ExecutorOptions) {
    this.#options = options;
  }

  /**
   * Starts a request under a ticket of this incarnation.
   *
   * @param keyDigest digest of the caller's idempotency key, if it sent one.
   * @param billedAs earlier ticket whose bill covers this run; the run is then not billed again.
   */
  start(
    request: CallerRequest,
    ticket: TicketId,
    keyDigest?: string,
    billedAs?: TicketId,
  ): Execution {
    const abort = new AbortController();
    const requestId = this.#options.tickets.format(ticket, request.account.name);
    const hasIdentity = request.identity.type !== 'none';
    const answer = new LiveAnswer(requestId, () => {
      // a request with a key or ticket goes on without its caller, so that a retry gets the whole
      // answer.
      if (!hasIdentity) abort.abort();
    });
    const execution: Execution = {
      ticket,
      bodyDigest: request.bodyDigest,
      answer,
      abort,
      dispatched: false,
      // only its issuer runs a ticket, and the key of a non-idempotent request is already claimed.
      soleRun: keyDigest === undefined || !request.idempotent,
      ...(keyDigest === undefined ? {} : { keyDigest }),
    };
    this.#options.table.add(execution);
    const { onFailure } = this.#options;
    runInBackground(() => this.#execute(request, execution, billedAs), onFailure);
    return execution;
  }

  async #execute(
    request: CallerRequest,
    execution: Execution,
    billedAs: TicketId | undefined,
  ): Promise<void> {
    const end = await this.#runGuarded(request, execution, billedAs);
    const { metrics, unused, work } = this.#options;
    const { clock } = work;
    execution.answer.finish(execution.soleRun ? end : endWithUnknownRun(end));
    this.#options.table.markFinished(execution, clock.now());
    if (end.type === 'refused') {
      metrics.count('requests.refused', 1, { reason: end.refusal.reason });
      // a request that did not run may be retried with the same key or ticket.
      if (end.refusal.run !== 'not-run') return;
      this.#options.table.remove(execution);
      // a key that was claimed during the run is released instead: each retry gets a new ticket.
      const isClaimReleased = request.idempotent && execution.keyDigest !== undefined;
      if (request.identity.type !== 'none' && !isClaimReleased) unused.add(execution.ticket.number);
      return;
    }
    metrics.count('requests.answered');
  }

  // an unexpected error must not leave the caller waiting: it is reported and answered.
  async #runGuarded(
    request: CallerRequest,
    execution: Execution,
    billedAs: TicketId | undefined,
  ): Promise<AnswerEnd> {
    try {
      return await this.#runOnce(request, execution, billedAs);
    } catch (err) {
      this.#options.onFailure(err);
      const detail = 'The router failed while it handled the request.';
      const refusal = execution.dispatched ? outcomeUnknown(detail) : notRun('not-ready', detail);
      return { type: 'refused', refusal };
    }
  }

  async #runOnce(
    request: CallerRequest,
    execution: Execution,
    billedAs: TicketId | undefined,
  ): Promise<AnswerEnd> {
    const work = this.#createWork(request);
    const reserved = await this.#options.money.reserve({
      account: request.account.name,
      workClass: request.workClass.name,
      importance: request.workClass.importance,
      budgetShare: request.workClass.budgetShare,
      amount: work.worstCase(),
      deadline: request.deadline,
    });
    if (reserved.isErr) return { type: 'refused', refusal: reserved.error };
    const reservation = reserved.value;
    const intentRefusal = await this.#recordIntent(request, execution);
    if (intentRefusal) {
      this.#options.money.release(reservation);
      return { type: 'refused', refusal: intentRefusal };
    }
    const { onFailure } = this.#options;
    const claim = this.#claimWhileRunning(request, execution);
    // it may fail before it is awaited, or is not awaited.
    runInBackground(() => claim, onFailure);
    const end = await work.run(execution);
    if (end.type !== 'refused' && billedAs === undefined) {
      return this.#settle(request, execution, reservation, end, await claim);
    }
    this.#options.money.release(reservation);
    runInBackground(() => this.#releaseClaim(request, execution, claim), onFailure);
    return this.#unbilledEnd(request, execution, end);
  }

  async #recordIntent(request: CallerRequest, execution: Execution): Promise<Refusal | undefined> {
    if (request.idempotent) return undefined;
    const recorded = await this.#options.money.recordIntent(execution.ticket);
    return recorded.isErr ? recorded.error : undefined;
  }

  /** Claims the key of an idempotent request while it runs; billing waits for the claim's answer. */
  async #claimWhileRunning(
    request: CallerRequest,
    execution: Execution,
  ): Promise<Billing | Refusal> {
    const { keyDigest, ticket } = execution;
    if (!request.idempotent || keyDigest === undefined) return 'bill';
    const answer = await this.#options.money.claim(keyDigest, request.bodyDigest, ticket);
    switch (answer.type) {
      case 'own':
        execution.soleRun = true;
        return 'bill';
      case 'unreachable':
        return 'bill-provisionally';
      case 'other-body':
        return keyReused();
      case 'other':
        return this.#resolveOwnedClaim(request, answer.ticket, ticket, keyDigest);
    }
  }

  /** Another ticket owns the key, and its run is billed unless it provably did not run. */
  async #resolveOwnedClaim(
    request: CallerRequest,
    owner: TicketId,
    own: TicketId,
    keyDigest: string,
  ): Promise<Billing | Refusal> {
    const resolution = await this.#options.money.resolveTicket(owner);
    switch (resolution.type) {
      case 'billed':
      case 'answered':
        return 'skip';
      case 'elsewhere': {
        const text = this.#options.tickets.format(owner, request.account.name);
        const billed = await confirmAtIssuer(resolution.entryUrl, text);
        return billed ? 'skip' : notConfirmed();
      }
      case 'not-run': {
        const answer = await this.#options.money.takeOverClaim(keyDigest, owner, own);
        return answer.type === 'own' ? 'bill' : notConfirmed();
      }
      case 'started':
      case 'unknown':
        return notConfirmed();
    }
  }

  async #settle(
    request: CallerRequest,
    execution: Execution,
    reservation: Reservation,
    end: Exclude<WorkEnd, { type: 'refused' }>,
    claim: Billing | Refusal,
  ): Promise<AnswerEnd> {
    if (typeof claim !== 'string' || claim === 'skip' || end.details === undefined) {
      this.#options.money.release(reservation);
      if (typeof claim !== 'string') return { type: 'refused', refusal: claim };
      return this.#unbilledEnd(request, execution, end);
    }
    const { keyDigest, bodyDigest } = execution;
    const details = {
      ...end.details,
      ...(keyDigest === undefined ? {} : { keyDigest }),
      ...(claim === 'bill-provisionally' ? { unclaimed: bodyDigest } : {}),
    };
    const billed = await this.#options.money.bill(
      reservation,
      execution.ticket,
      details,
      this.#outcomeToStore(request, execution, end),
    );
    if (billed.isErr) return { type: 'refused', refusal: billed.error };
    return end.type === 'whole' ? end.end : cancelledEnd(execution);
  }

  #outcomeToStore(
    request: CallerRequest,
    execution: Execution,
    end: WorkEnd,
  ): Parameters<Money['bill']>[3] {
    if (request.idempotent || end.type !== 'whole' || end.end.type !== 'plain') return undefined;
    const { status, contentType, body } = end.end;
    return {
      holder: execution.ticket.issuer,
      ticket: execution.ticket.number,
      status,
      contentType,
      at: this.#options.work.clock.now(),
      ...(body.length <= MAX_STORED_ANSWER_BYTES ? { body: body.toString('base64') } : {}),
    };
  }

  #unbilledEnd(request: CallerRequest, execution: Execution, end: WorkEnd): AnswerEnd {
    if (end.type === 'whole') return end.end;
    const refused = end.type === 'refused' ? end.refusal : undefined;
    const provablyNotRun = !execution.dispatched;
    if (!request.idempotent && provablyNotRun) this.#options.money.recordNotRun(execution.ticket);
    return refused ? { type: 'refused', refusal: refused } : cancelledEnd(execution);
  }

  /** Releases the key of an idempotent request to other tickets; this ticket never runs again. */
  async #releaseClaim(
    { idempotent }: CallerRequest,
    { keyDigest, bodyDigest, ticket }: Execution,
    claim: Promise<Billing | Refusal>,
  ): Promise<void> {
    if (!idempotent || keyDigest === undefined) return;
    try {
      // the claim may still be taking the key over from an earlier ticket.
      await claim;
    } catch (err) {
      this.#options.onFailure(err);
    }
    this.#options.money.releaseClaim(keyDigest, bodyDigest, ticket);
  }

  #createWork(request: CallerRequest): Work {
    return request.type === 'chat'
      ? new ChatWork(request, this.#options.work)
      : new PlainWork(request, this.#options.work);
  }
}
