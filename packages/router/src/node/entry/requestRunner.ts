/**
 * Gives every request its identity and runs it once.
 *
 * Order of the steps, and why: the reservation comes before anything is sent, so the budget holds
 * whatever the engine does; the claim and the intent of a non-idempotent request come before its
 * dispatch, so no other router runs it too; the bill is kept before the caller sees the final event,
 * so a router that dies has either billed the request or not answered it.
 */

import type { Kernel } from '@flamingocourse/kernel';
import type { Refusal, TicketId } from '@flamingocourse/core';
import type { RouterContext } from '../../types/routerContext.js';
import type { ClaimAnswer, Reservation } from '../../types/money.js';
import type { TicketCodec } from '../../types/ticketCodec.js';
import type { CallerRequest } from './callerRequest.js';
import type { Execution } from './executionTable.js';
import type { AnswerEnd } from './liveAnswer.js';
import type { Work, WorkContext, WorkEnd } from './work.js';
import { sameTicket } from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { Backends } from '../../types/backends.js';
import { Fleet } from '../../types/fleet.js';
import { Money } from '../../types/money.js';
import { notRun } from '../../utils/problem.js';
import { ChatWork } from './chatWork.js';
import { confirmElsewhere } from './forward.js';
import { ExecutionTable } from './executionTable.js';
import { LiveAnswer } from './liveAnswer.js';
import { PlainWork } from './plainWork.js';
import { UnusedTickets } from './unusedTickets.js';
import { outcomeUnknown } from './work.js';

const NOT_READY_RETRY_MS = 1_000;
const STOPPING_RETRY_MS = 200;
const CLAIM_RETRY_MS = 2_000;
/** Largest answer of a plain service that is kept for retries after a router's death, in bytes. */
const MAX_KEPT_ANSWER_BYTES = 8_192;
const DRAIN_POLL_MS = 20;
const MAX_TAKEOVER_HOPS = 3;

/** What the entry does with a request. */
export type Handling =
  | { type: 'answer'; execution: Execution }
  | { type: 'forward'; entryUrl: string; ticket: string }
  | { type: 'replay'; end: AnswerEnd; requestId: string }
  | { type: 'refused'; refusal: Refusal };

/** Runs requests; registered as `requests`. */
export class RequestRunner extends Service {
  override readonly name = 'requests';
  override readonly dependsOn = ['money', 'backends', 'fleet'];

  readonly #context: RouterContext;
  readonly #tickets: TicketCodec;
  readonly #table = new ExecutionTable();
  readonly #unused = new UnusedTickets();
  readonly #claiming = new Map<string, Promise<Handling>>();
  #kernel!: Kernel;
  #money!: Money;
  #fleet!: Fleet;
  #workContext!: WorkContext;
  #stopping = false;
  #incarnation = '';

  constructor(context: RouterContext, tickets: TicketCodec) {
    super();
    this.#context = context;
    this.#tickets = tickets;
  }

  override start(kernel: Kernel): void {
    this.#kernel = kernel;
    this.#money = kernel.get('money', Money);
    this.#fleet = kernel.get('fleet', Fleet);
    this.#incarnation = this.#fleet.self.incarnation;
    this.#workContext = {
      backends: kernel.get('backends', Backends),
      clock: this.#context.clock,
      log: this.#context.log,
      maxAttempts: this.#context.settings.routing.maxAttempts,
    };
  }

  /** Refuses new requests and waits for those in progress, at most `stopTimeoutMs`. */
  override async stop(): Promise<void> {
    this.#stopping = true;
    const { clock, settings } = this.#context;
    const latest = clock.now() + settings.stopTimeoutMs;
    while (this.#table.running > 0 && clock.now() < latest) {
      await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS));
    }
  }

  /** Requests that have not ended. */
  get running(): number {
    return this.#table.running;
  }

  /** From now on only retries of what already runs are taken. */
  refuseNew(): void {
    this.#stopping = true;
  }

  /** Issues a ticket for a caller to use, as text. */
  issueTicket(account: string): Result<string, Refusal> {
    const refusal = this.#refusalOfNew();
    if (refusal) return Result.err(refusal);
    const ticket = this.#money.nextTicket();
    this.#unused.add(ticket.number);
    return Result.ok(this.#tickets.format(ticket, account));
  }

  /** Waits for the end of a request of this incarnation; undefined when it is not known here. */
  async awaitEnd(ticketText: string): Promise<AnswerEnd | undefined> {
    const issued = this.#tickets.parse(ticketText);
    if (issued?.ticket.issuer !== this.#fleet.self.incarnation) return undefined;
    const execution = this.#table.byNumber(issued.ticket.number);
    if (!execution) return undefined;
    while (!execution.answer.end) await execution.answer.beyond(execution.answer.parts.length);
    return execution.answer.end;
  }

  /** Decides what becomes of a request and starts it where it is new. */
  async handle(request: CallerRequest): Promise<Handling> {
    this.#followIncarnation();
    switch (request.name.type) {
      case 'none':
        return this.#startNew(request, undefined);
      case 'ticket':
        return this.#handleTicket(request, request.name.ticket);
      case 'key':
        return this.#handleKey(request, request.name.keyDigest);
    }
  }

  async #handleTicket(request: CallerRequest, text: string): Promise<Handling> {
    const issued = this.#tickets.parse(text);
    if (issued?.account !== request.account.name) {
      const detail = 'Flamingocourse-Ticket was not issued to this account; POST /v1/tickets.';
      return refused(notRun('bad-request', detail));
    }
    return this.#resumeTicket(request, issued.ticket, `ticket:${text}`);
  }

  async #handleKey(request: CallerRequest, keyDigest: string): Promise<Handling> {
    const known = this.#table.byKey(keyDigest);
    if (known) return this.#join(known, request);
    const claiming = this.#claiming.get(keyDigest);
    if (claiming) {
      const handling = await claiming;
      return handling.type === 'answer' ? this.#join(handling.execution, request) : handling;
    }
    const refusal = this.#refusalOfNew();
    if (refusal) return refused(unverified(refusal));
    if (request.idempotent) return this.#startNew(request, keyDigest);
    const handling = this.#claimAndStart(request, keyDigest);
    this.#claiming.set(keyDigest, handling);
    try {
      return await handling;
    } finally {
      this.#claiming.delete(keyDigest);
    }
  }

  /** Binds the key of a non-idempotent request before anything is sent. */
  async #claimAndStart(request: CallerRequest, keyDigest: string): Promise<Handling> {
    const ticket = this.#money.nextTicket();
    const answer = await this.#money.claim(keyDigest, request.bodyDigest, ticket);
    switch (answer.type) {
      case 'own':
        return this.#start(request, ticket, keyDigest);
      case 'other':
        return this.#resumeTicket(request, answer.ticket, keyDigest);
      case 'other-body':
        return refused(keyReused());
      case 'unreachable': {
        const detail =
          'The idempotency key cannot be checked while the platform is out of reach; ' +
          'use a ticket from POST /v1/tickets, or retry.';
        return refused(unverified(notRun('budget-unreachable', detail, CLAIM_RETRY_MS)));
      }
    }
  }

  /** Continues a request that already has a ticket, wherever that was issued. */
  async #resumeTicket(
    request: CallerRequest,
    ticket: TicketId,
    claimKey: string,
    hops = 0,
  ): Promise<Handling> {
    // each hop is a takeover by another router; a request that is handed on for ever gets an answer.
    if (hops > MAX_TAKEOVER_HOPS) return refused(notConfirmed());
    if (ticket.issuer === this.#fleet.self.incarnation) {
      const known = this.#table.byNumber(ticket.number);
      if (known) return this.#join(known, request);
      const refusal = this.#refusalOfNew();
      if (refusal) return refused(refusal);
      if (this.#unused.take(ticket.number)) return this.#start(request, ticket);
    }
    const resolution = await this.#money.resolveTicket(ticket);
    switch (resolution.type) {
      case 'elsewhere':
        if (request.forwarded) return refused(outcomeUnknown('The issuing router has moved on.'));
        return {
          type: 'forward',
          entryUrl: resolution.entryUrl,
          ticket: this.#tickets.format(ticket, request.account.name),
        };
      case 'answered':
        return replay(resolution.outcome, this.#tickets.format(ticket, request.account.name));
      case 'billed':
        return this.#afterBill(request, ticket);
      case 'not-run':
        return this.#startUnrun(request, ticket, claimKey, hops);
      case 'started':
      case 'unknown':
        return refused(
          outcomeUnknown('The request was started and its outcome cannot be known yet.'),
        );
    }
  }

  /** A ticket of a sealed router that provably was neither billed nor run: to take over by claim. */
  async #startUnrun(
    request: CallerRequest,
    ticket: TicketId,
    claimKey: string,
    hops: number,
  ): Promise<Handling> {
    const refusal = this.#refusalOfNew();
    if (refusal) return refused(refusal);
    const next = this.#money.nextTicket();
    const answer = await this.#claimOrphan(request, ticket, next, claimKey);
    switch (answer.type) {
      case 'own':
        return this.#start(request, next);
      case 'other':
        return this.#resumeTicket(request, answer.ticket, claimKey, hops + 1);
      case 'other-body':
        return refused(keyReused());
      case 'unreachable':
        return refused(
          outcomeUnknown('The request cannot be taken over while the platform is out.'),
        );
    }
  }

  /**
   * Binds an orphaned request to a ticket of ours. Two routers may get retries of it at once, and the
   * claim lets one of them run it. A ticket from POST /v1/tickets has no claim yet; a key has one,
   * which still names the dead router's ticket and is taken over from it.
   */
  async #claimOrphan(
    request: CallerRequest,
    from: TicketId,
    to: TicketId,
    claimKey: string,
  ): Promise<ClaimAnswer> {
    const answer = await this.#money.claim(claimKey, request.bodyDigest, to);
    if (answer.type !== 'other' || !sameTicket(answer.ticket, from)) return answer;
    return this.#money.takeOverClaim(claimKey, from, to);
  }

  /** The bill stands but the answer is gone: an idempotent request runs again under that bill. */
  #afterBill(request: CallerRequest, ticket: TicketId): Handling {
    if (request.idempotent) return this.#startNew(request, undefined, ticket);
    return refused({
      reason: 'answer-expired',
      run: 'ran',
      detail: 'The request ran and was billed; its answer is no longer kept.',
    });
  }

  #startNew(request: CallerRequest, keyDigest?: string, billedAs?: TicketId): Handling {
    const refusal = this.#refusalOfNew();
    if (refusal) return refused(refusal);
    return this.#start(request, this.#money.nextTicket(), keyDigest, billedAs);
  }

  #refusalOfNew(): Refusal | undefined {
    if (this.#stopping) {
      return notRun('stopping', 'This router is stopping; retry at another.', STOPPING_RETRY_MS);
    }
    if (this.#money.ready) return undefined;
    return notRun('not-ready', 'This router holds no budget yet; retry soon.', NOT_READY_RETRY_MS);
  }

  #join(execution: Execution, request: CallerRequest): Handling {
    if (execution.bodyDigest !== request.bodyDigest) return refused(keyReused());
    return { type: 'answer', execution };
  }

  #start(
    request: CallerRequest,
    ticket: TicketId,
    keyDigest?: string,
    billedAs?: TicketId,
  ): Handling {
    const abort = new AbortController();
    const requestId = this.#tickets.format(ticket, request.account.name);
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
    this.#table.add(execution);
    void this.#execute(request, execution, billedAs);
    return { type: 'answer', execution };
  }

  async #execute(
    request: CallerRequest,
    execution: Execution,
    billedAs: TicketId | undefined,
  ): Promise<void> {
    const end = await this.#runGuarded(request, execution, billedAs);
    const { clock, metrics } = this.#context;
    execution.answer.finish(execution.soleRun ? end : withUnverifiedRun(end));
    this.#table.finished(execution, clock.now());
    if (end.type === 'refused') {
      metrics.count('requests.refused', 1, { reason: end.refusal.reason });
      // what did not run may be tried again under the same name.
      if (end.refusal.run !== 'not-run') return;
      this.#table.forget(execution);
      if (request.name.type !== 'none') this.#unused.add(execution.ticket.number);
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
      this.#kernel.reportFailure(err, this.name);
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
    const reserved = await this.#money.reserve({
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
      this.#money.release(reservation);
      return { type: 'refused', refusal: started };
    }
    const claim = this.#claimEarly(request, execution);
    const end = await work.run(execution);
    if (end.type !== 'refused' && billedAs === undefined) {
      return this.#settle(request, execution, reservation, end, await claim);
    }
    this.#money.release(reservation);
    return this.#unbilledEnd(request, execution, end);
  }

  async #keepIntent(request: CallerRequest, execution: Execution): Promise<Refusal | undefined> {
    if (request.idempotent) return undefined;
    const kept = await this.#money.recordIntent(execution.ticket);
    return kept.isErr ? kept.error : undefined;
  }

  /** Claims the key of an idempotent request while it runs; the bill waits for the answer. */
  async #claimEarly(
    request: CallerRequest,
    execution: Execution,
  ): Promise<'bill' | 'skip' | Refusal> {
    const { keyDigest, ticket } = execution;
    if (!request.idempotent || keyDigest === undefined) return 'bill';
    const answer = await this.#money.claim(keyDigest, request.bodyDigest, ticket);
    switch (answer.type) {
      case 'own':
        execution.soleRun = true;
        return 'bill';
      case 'unreachable':
        return 'bill';
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
  ): Promise<'bill' | 'skip' | Refusal> {
    const resolution = await this.#money.resolveTicket(owner);
    switch (resolution.type) {
      case 'billed':
      case 'answered':
        return 'skip';
      case 'elsewhere': {
        const text = this.#tickets.format(owner, request.account.name);
        const billed = await confirmElsewhere(resolution.entryUrl, text);
        return billed ? 'skip' : notConfirmed();
      }
      case 'not-run': {
        const answer = await this.#money.takeOverClaim(keyDigest, owner, own);
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
    claim: 'bill' | 'skip' | Refusal,
  ): Promise<AnswerEnd> {
    if (claim !== 'bill' || end.details === undefined) {
      this.#money.release(reservation);
      if (typeof claim !== 'string') return { type: 'refused', refusal: claim };
      return this.#unbilledEnd(request, execution, end);
    }
    const details =
      execution.keyDigest === undefined
        ? end.details
        : { ...end.details, keyDigest: execution.keyDigest };
    const billed = await this.#money.bill(
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
      at: this.#context.clock.now(),
      ...(body.length <= MAX_KEPT_ANSWER_BYTES ? { body: body.toString('base64') } : {}),
    };
  }

  #unbilledEnd(request: CallerRequest, execution: Execution, end: WorkEnd): AnswerEnd {
    if (end.type === 'whole') return end.end;
    const refused = end.type === 'refused' ? end.refusal : undefined;
    const provablyNotRun = !execution.dispatched;
    if (!request.idempotent && provablyNotRun) this.#money.recordNotRun(execution.ticket);
    return refused ? { type: 'refused', refusal: refused } : cancelledEnd(execution);
  }

  #createWork(request: CallerRequest): Work {
    return request.type === 'chat'
      ? new ChatWork(request, this.#workContext)
      : new PlainWork(request, this.#workContext);
  }

  // a router that was sealed goes on under a new incarnation. What the old one ran can no longer be
  // billed, and its ticket numbers must not be taken for those of the new one.
  #followIncarnation(): void {
    const { incarnation } = this.#fleet.self;
    if (incarnation === this.#incarnation) return;
    this.#incarnation = incarnation;
    this.#unused.clear();
    for (const execution of this.#table.clear()) execution.abort.abort();
  }
}

function refused(refusal: Refusal): Handling {
  return { type: 'refused', refusal };
}

// a key may have been used at another router before. While its claim has not been read, "not run"
// could be a lie about that earlier try, so only a checked key gets it.
function unverified(refusal: Refusal): Refusal {
  return refusal.run === 'not-run' ? { ...refusal, run: 'unknown' } : refusal;
}

function withUnverifiedRun(end: AnswerEnd): AnswerEnd {
  return end.type === 'refused' ? { ...end, refusal: unverified(end.refusal) } : end;
}

function keyReused(): Refusal {
  return notRun(
    'key-reused-with-other-body',
    'This idempotency key was used for another request; choose a new key.',
  );
}

function notConfirmed(): Refusal {
  return {
    reason: 'outcome-unknown',
    run: 'unknown',
    detail: 'Another router runs the same key and cannot be asked; retry with the same key.',
    retryAfterMs: CLAIM_RETRY_MS,
  };
}

function cancelledEnd(execution: Execution): AnswerEnd {
  const refusal: Refusal = execution.dispatched
    ? { reason: 'deadline-passed', run: 'unknown', detail: 'The request was given up on.' }
    : notRun('deadline-passed', 'The request was given up on before it ran.');
  return { type: 'refused', refusal };
}

function replay(
  outcome: { status: number; contentType: string; body?: string },
  requestId: string,
): Handling {
  if (outcome.body === undefined) {
    return refused({
      reason: 'answer-expired',
      run: 'ran',
      detail: 'The request ran; its answer was too large to be kept.',
    });
  }
  const { status, contentType, body } = outcome;
  return {
    type: 'replay',
    requestId,
    end: { type: 'plain', status, contentType, body: Buffer.from(body, 'base64') },
  };
}
