/**
 * Assigns a ticket to every request, so that all retries with the same key or ticket share one run.
 *
 * A request without a key or ticket gets a new ticket. Only its issuer runs a ticket; retries at
 * other routers are forwarded to the issuer, or answered from the journal after the issuer is sealed.
 * A claim binds a caller's key to one ticket.
 */

import type { Kernel } from '@flamingocourse/kernel';
import type { Refusal, TicketId } from '@flamingocourse/core';
import type { RouterContext } from '../../types/routerContext.js';
import type { ClaimAnswer } from '../../types/money.js';
import type { TicketCodec } from '../../types/ticketCodec.js';
import type { CallerRequest } from './callerRequest.js';
import type { Execution } from './executionTable.js';
import type { AnswerEnd } from './liveAnswer.js';
import { setTimeout as delay } from 'node:timers/promises';
import { sameTicket } from '@flamingocourse/core';
import { Service, aborted } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { Backends } from '../../types/backends.js';
import { Fleet } from '../../types/fleet.js';
import { Money } from '../../types/money.js';
import { notRun } from '../../utils/problem.js';
import { ExecutionTable } from './executionTable.js';
import { Executor } from './executor.js';
import { keyReused, notConfirmed, withUnknownRun } from './requestRefusals.js';
import { UnusedTickets } from './unusedTickets.js';
import { outcomeUnknown } from './work.js';

const NOT_READY_RETRY_MS = 1_000;
const STOPPING_RETRY_MS = 200;
const CLAIM_RETRY_MS = 2_000;
const DRAIN_POLL_MS = 20;
/** Maximum milliseconds in which requests that the end of a stop ends get their answers. */
const FINAL_ANSWERS_MS = 200;
const MAX_TAKEOVER_HOPS = 3;

/** What the entry server does with a request. */
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
  readonly #unusedTickets = new UnusedTickets();
  readonly #pendingClaims = new Map<string, Promise<Handling>>();
  #money!: Money;
  #fleet!: Fleet;
  #executor!: Executor;
  #stopping = false;
  /** Aborted when the time of a stop is over. */
  readonly #stopOver = new AbortController();
  #incarnation = '';

  constructor(context: RouterContext, tickets: TicketCodec) {
    super();
    this.#context = context;
    this.#tickets = tickets;
  }

  override start(kernel: Kernel): void {
    this.#money = kernel.get('money', Money);
    this.#fleet = kernel.get('fleet', Fleet);
    this.#incarnation = this.#fleet.self.incarnation;
    const { clock, log, metrics, settings } = this.#context;
    this.#executor = new Executor({
      money: this.#money,
      tickets: this.#tickets,
      table: this.#table,
      unused: this.#unusedTickets,
      metrics,
      work: {
        backends: kernel.get('backends', Backends),
        clock,
        log,
        maxAttempts: settings.routing.maxAttempts,
      },
      onFailure: (err) => {
        kernel.reportFailure(err, this.name);
      },
    });
  }

  /**
   * Refuses new requests and waits for those in progress, for at most `stopTimeoutMs`. Those that
   * still run then are ended, so that their callers get a final answer.
   */
  override async stop(): Promise<void> {
    this.#stopping = true;
    await this.#waitUntilIdle(this.#context.settings.stopTimeoutMs);
    this.#stopOver.abort();
    for (const execution of this.#table.unfinished) execution.abort.abort();
    await this.#waitUntilIdle(FINAL_ANSWERS_MS);
  }

  async #waitUntilIdle(forMs: number): Promise<void> {
    const { clock } = this.#context;
    const latest = clock.now() + forMs;
    while (this.#table.running > 0 && clock.now() < latest) await delay(DRAIN_POLL_MS);
  }

  /** Number of requests that have not ended. */
  get running(): number {
    return this.#table.running;
  }

  /** From now on accepts only retries of known requests. */
  refuseNew(): void {
    this.#stopping = true;
  }

  /** Issues a ticket for a later request of the caller, in text form. */
  issueTicket(account: string): Result<string, Refusal> {
    const refusal = this.#newRequestRefusal();
    if (refusal) return Result.err(refusal);
    const ticket = this.#money.nextTicket();
    this.#unusedTickets.add(ticket.number);
    return Result.ok(this.#tickets.format(ticket, account));
  }

  /** Waits until a request of this incarnation ends; undefined if it is not in the table. */
  async awaitEnd(ticketText: string): Promise<AnswerEnd | undefined> {
    const issued = this.#tickets.parse(ticketText);
    if (issued?.ticket.issuer !== this.#fleet.self.incarnation) return undefined;
    const execution = this.#table.byNumber(issued.ticket.number);
    if (!execution) return undefined;
    while (!execution.answer.end)
      await execution.answer.waitForMoreThan(execution.answer.parts.length);
    return execution.answer.end;
  }

  /** Decides how a request is handled, and starts it if it is new. */
  async handle(request: CallerRequest): Promise<Handling> {
    this.#adoptIncarnation();
    switch (request.identity.type) {
      case 'none':
        return this.#startNew(request, undefined);
      case 'ticket':
        return this.#handleTicket(request, request.identity.ticket);
      case 'key':
        return this.#handleKey(request, request.identity.keyDigest);
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
    const pendingClaim = this.#pendingClaims.get(keyDigest);
    if (pendingClaim) {
      const handling = await pendingClaim;
      return handling.type === 'answer' ? this.#join(handling.execution, request) : handling;
    }
    const refusal = this.#newRequestRefusal();
    if (refusal) return refused(withUnknownRun(refusal));
    if (request.idempotent) return this.#startNew(request, keyDigest);
    const handling = this.#claimAndStart(request, keyDigest);
    this.#pendingClaims.set(keyDigest, handling);
    try {
      return await handling;
    } finally {
      this.#pendingClaims.delete(keyDigest);
    }
  }

  /** Binds the key of a non-idempotent request before anything is sent. */
  async #claimAndStart(request: CallerRequest, keyDigest: string): Promise<Handling> {
    const ticket = this.#money.nextTicket();
    const claim = this.#money.claim(keyDigest, request.bodyDigest, ticket);
    const answer = await Promise.race([claim, aborted(this.#stopOver.signal)]);
    // a claim that is answered later binds the key to a ticket that never runs.
    if (!answer || this.#stopOver.signal.aborted) return refused(stoppingRefusal());
    switch (answer.type) {
      case 'own':
        return this.#startExecution(request, ticket, keyDigest);
      case 'other':
        return this.#resumeTicket(request, answer.ticket, keyDigest);
      case 'other-body':
        return refused(keyReused());
      case 'unreachable': {
        const detail =
          'The idempotency key cannot be checked while the platform is out of reach; ' +
          'use a ticket from POST /v1/tickets, or retry.';
        return refused(withUnknownRun(notRun('budget-unreachable', detail, CLAIM_RETRY_MS)));
      }
    }
  }

  /** Handles a request that already has a ticket, issued by this router or another. */
  async #resumeTicket(
    request: CallerRequest,
    ticket: TicketId,
    claimKey: string,
    hops = 0,
  ): Promise<Handling> {
    // each hop is a takeover by another router; the limit ensures that the caller gets an answer.
    if (hops > MAX_TAKEOVER_HOPS) return refused(notConfirmed());
    if (ticket.issuer === this.#fleet.self.incarnation) {
      const known = this.#table.byNumber(ticket.number);
      if (known) return this.#join(known, request);
      const refusal = this.#newRequestRefusal();
      if (refusal) return refused(refusal);
      if (this.#unusedTickets.take(ticket.number)) return this.#startExecution(request, ticket);
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
        return this.#takeOverTicket(request, ticket, claimKey, hops);
      case 'started':
      case 'unknown':
        return refused(
          outcomeUnknown('The request was started and its outcome cannot be known yet.'),
        );
    }
  }

  /**
   * Runs a request whose ticket was issued by a router that is now sealed, if it was provably neither
   * billed nor run. A claim decides which router takes over the ticket.
   */
  async #takeOverTicket(
    request: CallerRequest,
    ticket: TicketId,
    claimKey: string,
    hops: number,
  ): Promise<Handling> {
    const refusal = this.#newRequestRefusal();
    if (refusal) return refused(refusal);
    const next = this.#money.nextTicket();
    const answer = await this.#claimOrphaned(request, ticket, next, claimKey);
    switch (answer.type) {
      case 'own':
        return this.#startExecution(request, next);
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
   * Binds a request whose issuer is sealed to a ticket of this router. Two routers may receive
   * retries of it at the same time; the claim lets only one of them run it. A ticket from POST
   * /v1/tickets has no claim yet. A key has a claim that still names the sealed router's ticket; this
   * claim is taken over.
   */
  async #claimOrphaned(
    request: CallerRequest,
    from: TicketId,
    to: TicketId,
    claimKey: string,
  ): Promise<ClaimAnswer> {
    const answer = await this.#money.claim(claimKey, request.bodyDigest, to);
    if (answer.type !== 'other' || !sameTicket(answer.ticket, from)) return answer;
    return this.#money.takeOverClaim(claimKey, from, to);
  }

  /** The request was billed but its answer is lost. If idempotent, it runs again without a bill. */
  #afterBill(request: CallerRequest, ticket: TicketId): Handling {
    if (request.idempotent) return this.#startNew(request, undefined, ticket);
    return refused({
      reason: 'answer-expired',
      run: 'ran',
      detail: 'The request ran and was billed; its answer is no longer kept.',
    });
  }

  #startNew(request: CallerRequest, keyDigest?: string, billedAs?: TicketId): Handling {
    const refusal = this.#newRequestRefusal();
    if (refusal) return refused(refusal);
    return this.#startExecution(request, this.#money.nextTicket(), keyDigest, billedAs);
  }

  #newRequestRefusal(): Refusal | undefined {
    if (this.#stopping) {
      return stoppingRefusal();
    }
    if (this.#money.ready) return undefined;
    return notRun('not-ready', 'This router holds no budget yet; retry soon.', NOT_READY_RETRY_MS);
  }

  #startExecution(...started: Parameters<Executor['start']>): Handling {
    return { type: 'answer', execution: this.#executor.start(...started) };
  }

  #join(execution: Execution, request: CallerRequest): Handling {
    if (execution.bodyDigest !== request.bodyDigest) return refused(keyReused());
    return { type: 'answer', execution };
  }

  // a sealed router continues under a new incarnation. Requests of the old incarnation can no longer
  // be billed, and its ticket numbers must not be confused with those of the new one.
  #adoptIncarnation(): void {
    const { incarnation } = this.#fleet.self;
    if (incarnation === this.#incarnation) return;
    this.#incarnation = incarnation;
    this.#unusedTickets.clear();
    for (const execution of this.#table.clear()) execution.abort.abort();
  }
}

function stoppingRefusal(): Refusal {
  return notRun('stopping', 'This router is stopping; retry at another.', STOPPING_RETRY_MS);
}

function refused(refusal: Refusal): Handling {
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
