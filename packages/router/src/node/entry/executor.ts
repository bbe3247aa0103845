/**
 * Runs one request to its end.
 *
 * Order of the steps, and why: the reservation comes before anything is sent, so the budget holds
 * whatever the engine does; the claim and the intent of a non-idempotent request come before its
 * dispatch, so no other router runs it too; the bill is kept before the caller sees the final event,
 * so a router that dies has either billed the request or not answered it.
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
import { notRun } from '../../utils/problem.js';
import { ChatWork } from './chatWork.js';
import { confirmElsewhere } from './forward.js';
import { LiveAnswer } from './liveAnswer.js';
import { PlainWork } from './plainWork.js';
import { cancelledEnd, keyReused, notConfirmed, withUnverifiedRun } from './requestRefusals.js';
import { outcomeUnknown } from './work.js';

/** Largest answer of a plain service that is kept for retries after a router's death, in bytes. */
const MAX_KEPT_ANSWER_BYTES = 8_192;

/**
 * What becomes of the bill: `skip` where another ticket of the key is billed; `bill-provisionally`
 * where the claim cannot be read and is settled later.
 */
type Billing = 'bill' | 'bill-provisionally' | 'skip';

/** What executions share. */
export interface ExecutorOptions {
  money: Money;
  tickets: TicketCodec;
  table: ExecutionTable;
  unused: UnusedTickets;
  metrics: Metrics;
  work: WorkContext;
  /** Receives faults of our own code; the caller is answered all the same. */
  onFailure: (err: unknown) => void;
}

/** Runs requests that have their ticket. */
export class Executor {
  readonly #options: ExecutorOptions;

  constructor(options: ExecutorOptions) {
    this.#options = options;
  }

  /**
   * Starts a request under a ticket of this incarnation.
   *
   * @param keyDigest the caller's key, where it has one.
   * @param billedAs an earlier ticket whose bill covers this run, which is then not billed again.
   */
  start(
    request: CallerRequest,
    ticket: TicketId,
    keyDigest?: string,
    billedAs?: TicketId,
  ): Execution {
    const abort = new AbortController();
    const requestId = this.#options.tickets.format(ticket, request.account.name);
    const named = request.name.type !== 'none';
    const answer = new LiveAnswer(requestId, () => {
      // a named request goes on without its caller, so that the retry gets the whole answer.
      if (!named) abort.abort();
    });
    const execution: Execution = {
      ticket,
      bodyDigest: request.bodyDigest,
      answer,
      abort,
      dispatched: false,
      // a ticket is run by its issuer alone, and the key of a non-idempotent request was claimed.
      soleRun: keyDigest === undefined || !request.idempotent,
      ...(keyDigest === undefined ? {} : { keyDigest }),
    };
    this.#options.table.add(execution);
    void this.#execute(request, execution, billedAs);
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
    execution.answer.finish(execution.soleRun ? end : withUnverifiedRun(end));
    this.#options.table.finished(execution, clock.now());
    if (end.type === 'refused') {
      metrics.count('requests.refused', 1, { reason: end.refusal.reason });
      // what did not run may be tried again under the same name.
      if (end.refusal.run !== 'not-run') return;
      this.#options.table.forget(execution);
      // the claim of a key that was claimed while it ran is given up: each try gets a ticket of its own.
      const isClaimGivenUp = request.idempotent && execution.keyDigest !== undefined;
      if (request.name.type !== 'none' && !isClaimGivenUp) unused.add(execution.ticket.number);
      return;
    }
    metrics.count('requests.answered');
  }

  // a fault in our own code must not leave the caller waiting: it is reported and answered.
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
    const started = await this.#keepIntent(request, execution);
    if (started) {
      this.#options.money.release(reservation);
      return { type: 'refused', refusal: started };
    }
    const claim = this.#claimEarly(request, execution);
    const end = await work.run(execution);
    if (end.type !== 'refused' && billedAs === undefined) {
      return this.#settle(request, execution, reservation, end, await claim);
    }
    this.#options.money.release(reservation);
    void this.#giveUpClaim(request, execution, claim);
    return this.#unbilledEnd(request, execution, end);
  }

  async #keepIntent(request: CallerRequest, execution: Execution): Promise<Refusal | undefined> {
    if (request.idempotent) return undefined;
    const kept = await this.#options.money.recordIntent(execution.ticket);
    return kept.isErr ? kept.error : undefined;
  }

  /** Claims the key of an idempotent request while it runs; the bill waits for the answer. */
  async #claimEarly(request: CallerRequest, execution: Execution): Promise<Billing | Refusal> {
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
        return this.#billElsewhere(request, answer.ticket, ticket, keyDigest);
    }
  }

  /** Another ticket owns the key: it bills, unless it provably never will. */
  async #billElsewhere(
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
        const billed = await confirmElsewhere(resolution.entryUrl, text);
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
      this.#outcomeToKeep(request, execution, end),
    );
    if (billed.isErr) return { type: 'refused', refusal: billed.error };
    return end.type === 'whole' ? end.end : cancelledEnd(execution);
  }

  #outcomeToKeep(
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
      ...(body.length <= MAX_KEPT_ANSWER_BYTES ? { body: body.toString('base64') } : {}),
    };
  }

  #unbilledEnd(request: CallerRequest, execution: Execution, end: WorkEnd): AnswerEnd {
    if (end.type === 'whole') return end.end;
    const refused = end.type === 'refused' ? end.refusal : undefined;
    const provablyNotRun = !execution.dispatched;
    if (!request.idempotent && provablyNotRun) this.#options.money.recordNotRun(execution.ticket);
    return refused ? { type: 'refused', refusal: refused } : cancelledEnd(execution);
  }

  /** Lets another ticket have the key of a repeatable request; nothing is started under this one again. */
  async #giveUpClaim(
    { idempotent }: CallerRequest,
    { keyDigest, bodyDigest, ticket }: Execution,
    claim: Promise<Billing | Refusal>,
  ): Promise<void> {
    if (!idempotent || keyDigest === undefined) return;
    try {
      // it may be about to take the key over from a ticket that ended before.
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
