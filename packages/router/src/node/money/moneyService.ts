/** Budget, bills, tickets and claims of one router, behind the interface of the request path. */

import type {
  AccountId,
  EpochMs,
  IncarnationId,
  JournalLine,
  Outcome,
  Refusal,
  Shortage,
  SlicePolicy,
  TicketId,
  Tokens,
} from '@flamingocourse/core';
import type { Kernel, Steps } from '@flamingocourse/kernel';
import type {
  BillDetails,
  ClaimAnswer,
  Reservation,
  ReservationRequest,
  TicketResolution,
} from '../../types/money.js';
import type {
  AppendAnswer,
  MoneyPeerHandler,
  MoneyPeers,
  ObjectStore,
  PeerFault,
} from '../../types/moneyPorts.js';
import type { RouterContext } from '../../types/routerContext.js';
import type { MoneyParts } from './moneyParts.js';
import { createSlicePolicy } from '@flamingocourse/core';
import { Channel, awaitPromise, startProcess, takeWithin } from '@flamingocourse/kernel';
import { isNewer } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { Configuration } from '../../types/configuration.js';
import { Fleet } from '../../types/fleet.js';
import { Money } from '../../types/money.js';
import { billChanges } from './billLines.js';
import { HolderSession } from './holderSession.js';
import { OwnEndings } from './ownEndings.js';
import { createMoneyParts } from './moneyParts.js';
import {
  refuseNotReady,
  refuseShortage,
  refuseUnknownOutcome,
  refuseUnreachable,
} from './moneyRefusals.js';
import { rollLargeSegment } from './segmentRoller.js';
import { delay, within } from './timing.js';
import { WaitingTokens } from './waitingTokens.js';

/** Time between two rounds of background work, in milliseconds. */
const TICK_MS = 100;

/** Age at which the journal is read again though nothing was written, in milliseconds. */
const REFRESH_MS = 5_000;

/** The same while the platform does not answer. */
const REFRESH_OUT_MS = 500;

/** Time between two looks at the tokens while a request waits for some. */
const RESERVE_POLL_MS = 10;

/** Longest wait at a stop for slices to be given back, in milliseconds. */
const STOP_TIMEOUT_MS = 3_000;

/** What the budget services are created with. `fleet` and `configuration` come from the kernel. */
export interface MoneyServiceOptions {
  context: RouterContext;
  store: ObjectStore;
  peers: MoneyPeers;
}

/**
 * Implements {@link Money} on the journal and the ledger.
 *
 * @example
 * kernel.register(new MoneyService({ context, store, peers }));
 */
export class MoneyService extends Money implements MoneyPeerHandler {
  override readonly dependsOn = ['fleet', 'configuration'];
  readonly #options: MoneyServiceOptions;
  readonly #endings = new OwnEndings();
  readonly #stopping = new Channel<true>(1);
  #parts: MoneyParts | undefined;
  #session: HolderSession | undefined;
  #done: Promise<void> | undefined;
  #view: AppendAnswer | undefined;
  #refreshedAt = -Infinity;
  readonly #former: IncarnationId[] = [];
  readonly #accounts = new Set<AccountId>();
  readonly #waiting = new WaitingTokens();

  constructor(options: MoneyServiceOptions) {
    super();
    this.#options = options;
  }

  override get ready(): boolean {
    const session = this.#session;
    return session !== undefined && session.open && session.canKeep;
  }

  override async start(kernel: Kernel): Promise<void> {
    const onFailure = (err: unknown): void => {
      kernel.reportFailure(err, this.name);
    };
    this.#parts = createMoneyParts({
      ...this.#options,
      fleet: kernel.get('fleet', Fleet),
      configuration: kernel.get('configuration', Configuration),
      onState: (written) => {
        this.#adopt(written);
      },
      onBudget: (account, view) => this.#session?.spender.setBudget(account, view),
      onFailure,
    });
    this.#openSession(this.#parts);
    await this.#tick(this.#parts);
    this.#done = startProcess(() => this.#run(), onFailure);
  }

  /** Gives the slices back, ends the holder and writes what is queued. */
  override async stop(): Promise<void> {
    this.#stopping.close();
    await this.#done;
    const session = this.#session;
    const parts = this.#parts;
    if (!session || !parts) return;
    await within(session.leave(parts.witness), STOP_TIMEOUT_MS, undefined);
    session.log.close();
    await Promise.all([parts.writer.stop(), parts.claims.stop(), parts.treasurer.stop()]);
  }

  override nextTicket(): TicketId {
    const session = this.#session;
    return session ? session.nextTicket() : { issuer: '', number: 0 };
  }

  override async reserve(asked: ReservationRequest): Promise<Result<Reservation, Refusal>> {
    const request = { ...asked, amount: Math.ceil(asked.amount) };
    const { clock, settings } = this.#options.context;
    const start = clock.now();
    const latest = Math.min(start + settings.budget.reserveWaitMs, request.deadline);
    this.#session?.demand.add(request.account, request.amount, start);
    this.#accounts.add(request.account);
    const done = this.#waiting.add(request.account, request.amount);
    try {
      return await this.#reserveUntil(request, latest);
    } finally {
      done();
    }
  }

  async #reserveUntil(
    request: ReservationRequest,
    latest: EpochMs,
  ): Promise<Result<Reservation, Refusal>> {
    const { clock } = this.#options.context;
    for (;;) {
      const session = this.#session;
      if (!session?.open) return Result.err(refuseNotReady());
      if (!session.canKeep) return Result.err(refuseUnreachable());
      const result = session.spender.reserve(this.#spenderRequest(session, request));
      if (result.isOk) return Result.ok(result.value);
      const isFinal = result.error === 'class-share' || result.error === 'reserved-for-first';
      if (isFinal || clock.now() >= latest) return Result.err(this.#refusal(result.error));
      this.#seekTokens(session, request.account);
      await delay(RESERVE_POLL_MS);
    }
  }

  override async bill(
    reservation: Reservation,
    ticket: TicketId,
    details: BillDetails,
    outcome?: Outcome,
  ): Promise<Result<'kept', Refusal>> {
    const session = this.#session;
    const isOwn = session?.open === true && ticket.issuer === session.spender.holder;
    // a reservation of an incarnation that was sealed gives no right to spend any more.
    if (!isOwn || !session.spender.isReserved(reservation)) {
      return Result.err(refuseUnknownOutcome());
    }
    const now = this.#options.context.clock.now();
    const changes = billChanges(reservation, ticket, details, now, outcome);
    const kept = session.record(changes);
    session.spender.release(reservation);
    const result = await kept;
    return result.isOk ? Result.ok('kept') : Result.err(refuseUnknownOutcome());
  }

  override release(reservation: Reservation): void {
    this.#session?.spender.release(reservation);
  }

  override async recordIntent(ticket: TicketId): Promise<Result<'kept', Refusal>> {
    const session = this.#session;
    if (!session?.open || ticket.issuer !== session.spender.holder) {
      return Result.err(refuseNotReady());
    }
    const result = await session.record([{ type: 'intent', ticket: ticket.number }]);
    if (result.isOk) return Result.ok('kept');
    // the intent may be kept yet; it is never dispatched, so the record must say so.
    this.recordNotRun(ticket);
    return Result.err(refuseUnreachable());
  }

  override recordNotRun(ticket: TicketId): void {
    const session = this.#session;
    if (!session?.open || ticket.issuer !== session.spender.holder) return;
    void session.log.record([{ type: 'not-run', ticket: ticket.number }]);
  }

  override async claim(
    keyDigest: string,
    bodyDigest: string,
    ticket: TicketId,
  ): Promise<ClaimAnswer> {
    if (!this.#parts) return { type: 'unreachable' };
    return this.#parts.claims.claim(keyDigest, bodyDigest, ticket);
  }

  override giveUpClaim(keyDigest: string, bodyDigest: string, ticket: TicketId): void {
    this.#parts?.claims.giveUp(keyDigest, bodyDigest, ticket);
  }

  override async resolveTicket(ticket: TicketId): Promise<TicketResolution> {
    if (!this.#parts) return { type: 'unknown' };
    return this.#parts.resolver.resolve(ticket);
  }

  override async takeOverClaim(
    keyDigest: string,
    from: TicketId,
    to: TicketId,
  ): Promise<ClaimAnswer> {
    if (!this.#parts) return { type: 'unreachable' };
    return this.#parts.claims.takeOver(keyDigest, from, to);
  }

  async handleAppendLines(lines: JournalLine[]): Promise<Result<AppendAnswer, PeerFault>> {
    return this.#parts ? this.#parts.routes.commitFor(lines) : Result.err('refused');
  }

  handleKeepLines(lines: JournalLine[]): Result<'kept', PeerFault> {
    return this.#parts ? this.#parts.witness.keep(lines) : Result.err('refused');
  }

  handleFenceHolder(holder: IncarnationId): Result<JournalLine[], PeerFault> {
    return this.#parts ? Result.ok(this.#parts.witness.fence(holder)) : Result.err('refused');
  }

  async handleRecall(
    account: AccountId,
    amount: Tokens,
    forDataCentre: string,
  ): Promise<Result<Tokens, PeerFault>> {
    const parts = this.#parts;
    if (!parts) return Result.err('refused');
    const given = (await this.#session?.give(account, amount)) ?? 0;
    const { dataCentre } = parts.fleet.self;
    if (forDataCentre !== dataCentre) {
      return Result.ok(await parts.treasurer.returnToLedger(account, amount));
    }
    if (given < amount && parts.treasurer.owns(account)) {
      await parts.treasurer.request(account, amount);
    }
    return Result.ok(given);
  }

  *#run(): Steps<void> {
    for (;;) {
      const next = yield* takeWithin(this.#stopping, TICK_MS);
      if (next.type === 'closed') return;
      if (this.#parts) yield* awaitPromise(this.#tick(this.#parts));
    }
  }

  async #tick(parts: MoneyParts): Promise<void> {
    const { clock, log } = this.#options.context;
    const session = this.#session;
    if (!session) return;
    await this.#refreshOldJournal(parts);
    if (!session.open && !session.log.sealed && (await session.register(clock.now()))) {
      log.write('holder-registered', { holder: session.spender.holder });
    }
    const state = this.#view?.state;
    if (!state || !parts.writer.reachable) return;
    session.renewWitnesses();
    for (const account of this.#accounts) {
      session.balance(account, state, this.#policy(), clock.now());
    }
    await parts.witness.replay(parts.writer);
    await this.#endings.tick(parts.writer);
    await parts.sealer.tick(clock.now());
    await parts.treasurer.tick(clock.now());
    await parts.claims.tick();
    await parts.provisional.tick(clock.now());
    await rollLargeSegment(this.#options.store, parts.writer, log);
  }

  async #refreshOldJournal({ writer }: MoneyParts): Promise<void> {
    const now = this.#options.context.clock.now();
    const limit = writer.reachable ? REFRESH_MS : REFRESH_OUT_MS;
    if (now - this.#refreshedAt < limit) return;
    this.#refreshedAt = now;
    await writer.refresh();
  }

  /** Takes in a journal that was read, written, or sent by the committer, unless it is older. */
  #adopt(written: AppendAnswer): void {
    if (this.#view && !isNewer(written.version, this.#view.version)) return;
    this.#view = written;
    this.#parts?.witness.sync(written.state);
    this.#session?.sync(written.state);
  }

  #openSession(parts: MoneyParts): void {
    const session: HolderSession = new HolderSession({
      fleet: parts.fleet,
      writer: parts.writer,
      routes: parts.routes,
      formerly: [...this.#former],
      witnessAfterMs: this.#options.context.settings.budget.witnessAfterMs,
      onAnswer: (answer) => {
        this.#adopt(answer);
      },
      onSealed: () => {
        this.#onSealed(session, parts);
      },
      onFailure: parts.onFailure,
    });
    this.#session = session;
  }

  /** Starts over: what the old incarnation had is settled by whoever sealed it. */
  #onSealed(session: HolderSession, parts: MoneyParts): void {
    if (this.#session !== session || this.#stopping.closed) return;
    const holder = session.spender.holder;
    this.#options.context.log.write('holder-lost', { holder });
    this.#former.push(holder);
    this.#endings.add(holder, session.spender.unapplied);
    parts.fleet.renewIncarnation();
    this.#openSession(parts);
  }

  #spenderRequest(
    session: HolderSession,
    request: ReservationRequest,
  ): Parameters<HolderSession['spender']['reserve']>[0] {
    const { account, workClass, amount, budgetShare, importance } = request;
    const limit = session.spender.budget(account)?.limit ?? 0;
    const floor = this.#policy().floor(importance, limit);
    return { account, workClass, amount, budgetShare, floor };
  }

  /** Takes from the pool, and where that is short, asks the treasurer and the peers. */
  #seekTokens(session: HolderSession, account: AccountId): void {
    const parts = this.#parts;
    const state = this.#view?.state;
    if (!parts || !state || !parts.writer.reachable) return;
    const now = this.#options.context.clock.now();
    const amount = this.#waiting.sum(account);
    const lacking = session.takeFor(account, amount, state, this.#policy(), now);
    if (lacking > 0) parts.seek(account, lacking);
  }

  #refusal(shortage: Shortage): Refusal {
    return refuseShortage(shortage, this.#parts?.writer.reachable ?? false);
  }

  #policy(): SlicePolicy {
    return createSlicePolicy(this.#parts?.configuration.deployment.policy ?? 'avoid-overspend');
  }
}
