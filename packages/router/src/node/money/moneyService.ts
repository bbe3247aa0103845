/** Implementation of the budget service: budgets, bills, tickets and claims of one router. */

import type {
  AccountId,
  EpochMs,
  IncarnationId,
  JournalLine,
  Outcome,
  Refusal,
  ShortageReason,
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
import { SelfSealer } from './selfSealer.js';
import { createMoneyParts } from './moneyParts.js';
import {
  refuseNotReady,
  refuseShortage,
  refuseUnknownOutcome,
  refuseUnreachable,
} from './moneyRefusals.js';
import { rollLargeSegment } from './segmentRoller.js';
import { delay, withTimeout } from './timing.js';
import { WaitingTokens } from './waitingTokens.js';

/** Interval between two rounds of background work, in milliseconds. */
const TICK_MS = 100;

/** Interval at which the journal is read again, in milliseconds. */
const REFRESH_MS = 5_000;

/**
 * Interval at which the journal is read again while the platform does not answer, in milliseconds.
 */
const REFRESH_OUTAGE_MS = 500;

/** Interval at which a waiting request tries to reserve tokens again, in milliseconds. */
const RESERVE_POLL_MS = 10;

/** Timeout for returning the slices when the service stops, in milliseconds. */
const STOP_TIMEOUT_MS = 3_000;

/**
 * Options of {@link MoneyService}. The services `fleet` and `configuration` come from the kernel.
 */
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
  readonly #selfSealer = new SelfSealer();
  readonly #stopping = new Channel<true>(1);
  #parts: MoneyParts | undefined;
  #session: HolderSession | undefined;
  #done: Promise<void> | undefined;
  #journal: AppendAnswer | undefined;
  #refreshedAt = -Infinity;
  readonly #formerIncarnations: IncarnationId[] = [];
  readonly #accounts = new Set<AccountId>();
  readonly #waiting = new WaitingTokens();

  constructor(options: MoneyServiceOptions) {
    super();
    this.#options = options;
  }

  override get ready(): boolean {
    const session = this.#session;
    return session !== undefined && session.open && session.canRecord;
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
        this.#acceptJournal(written);
      },
      onBudget: (account, view) => this.#session?.spender.setBudget(account, view),
      onFailure,
    });
    this.#openSession(this.#parts);
    await this.#tick(this.#parts);
    this.#done = startProcess(() => this.#run(), onFailure);
  }

  /** Returns the slices, closes the holder and writes the queued changes. */
  override async stop(): Promise<void> {
    this.#stopping.close();
    await this.#done;
    const session = this.#session;
    const parts = this.#parts;
    if (!session || !parts) return;
    await withTimeout(session.close(parts.witness), STOP_TIMEOUT_MS, undefined);
    session.log.close();
    await Promise.all([parts.writer.stop(), parts.claims.stop(), parts.ledgerSync.stop()]);
  }

  override nextTicket(): TicketId {
    const session = this.#session;
    return session ? session.nextTicket() : { issuer: '', number: 0 };
  }

  override async reserve(requested: ReservationRequest): Promise<Result<Reservation, Refusal>> {
    const request = { ...requested, amount: Math.ceil(requested.amount) };
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
      if (!session.canRecord) return Result.err(refuseUnreachable());
      const result = session.spender.reserve(this.#spenderRequest(session, request));
      if (result.isOk) return Result.ok(result.value);
      const isFinal = result.error === 'class-share' || result.error === 'reserved-for-first';
      if (isFinal || clock.now() >= latest) return Result.err(this.#refusal(result.error));
      this.#fetchTokens(session, request.account);
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
    // A reservation of a sealed incarnation must not be billed.
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
    // The intent may still get stored. The request is not sent, so the journal must record that it
    // did not run.
    this.recordNotRun(ticket);
    return Result.err(refuseUnreachable());
  }

  override recordNotRun(ticket: TicketId): void {
    const session = this.#session;
    if (!session?.open || ticket.issuer !== session.spender.holder) return;
    this.#options.context.background.run(this.name, () => {
      return session.log.record([{ type: 'not-run', ticket: ticket.number }]);
    });
  }

  override async claim(
    keyDigest: string,
    bodyDigest: string,
    ticket: TicketId,
  ): Promise<ClaimAnswer> {
    if (!this.#parts) return { type: 'unreachable' };
    return this.#parts.claims.claim(keyDigest, bodyDigest, ticket);
  }

  override releaseClaim(keyDigest: string, bodyDigest: string, ticket: TicketId): void {
    this.#parts?.claims.release(keyDigest, bodyDigest, ticket);
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
    return this.#parts ? this.#parts.transport.commitFor(lines) : Result.err('refused');
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
    const given = (await this.#session?.returnToPool(account, amount)) ?? 0;
    const { dataCentre } = parts.fleet.self;
    if (forDataCentre !== dataCentre) {
      return Result.ok(await parts.ledgerSync.returnToLedger(account, amount));
    }
    if (given < amount && parts.ledgerSync.owns(account)) {
      await parts.ledgerSync.requestTokens(account, amount);
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
    await this.#refreshStaleJournal(parts);
    if (!session.open && !session.log.sealed && (await session.register(clock.now()))) {
      log.write('holder-registered', { holder: session.spender.holder });
    }
    const state = this.#journal?.state;
    if (!state || !parts.writer.reachable) return;
    session.renewWitnesses();
    for (const account of this.#accounts) {
      session.balance(account, state, this.#policy(), clock.now());
    }
    await parts.witness.replay(parts.writer);
    await this.#selfSealer.tick(parts.writer);
    await parts.sealer.tick(clock.now());
    await parts.ledgerSync.tick(clock.now());
    await parts.claims.tick();
    await parts.provisional.tick(clock.now());
    await rollLargeSegment(this.#options.store, parts.writer, log);
  }

  async #refreshStaleJournal({ writer }: MoneyParts): Promise<void> {
    const now = this.#options.context.clock.now();
    const limit = writer.reachable ? REFRESH_MS : REFRESH_OUTAGE_MS;
    if (now - this.#refreshedAt < limit) return;
    this.#refreshedAt = now;
    await writer.refresh();
  }

  /** Accepts a journal that was read, written or sent by the committer, unless it is older. */
  #acceptJournal(written: AppendAnswer): void {
    if (this.#journal && !isNewer(written.version, this.#journal.version)) return;
    this.#journal = written;
    this.#parts?.witness.sync(written.state);
    this.#session?.sync(written.state);
  }

  #openSession(parts: MoneyParts): void {
    const session: HolderSession = new HolderSession({
      fleet: parts.fleet,
      writer: parts.writer,
      transport: parts.transport,
      formerIncarnations: [...this.#formerIncarnations],
      witnessAfterMs: this.#options.context.settings.budget.witnessAfterMs,
      onAnswer: (answer) => {
        this.#acceptJournal(answer);
      },
      onSealed: () => {
        this.#onSealed(session, parts);
      },
      onFailure: parts.onFailure,
    });
    this.#session = session;
  }

  /**
   * Opens a session for a new incarnation. The sealing of the old one returns its tokens to the
   * pool.
   */
  #onSealed(session: HolderSession, parts: MoneyParts): void {
    if (this.#session !== session || this.#stopping.closed) return;
    const holder = session.spender.holder;
    this.#options.context.log.write('holder-lost', { holder });
    this.#formerIncarnations.push(holder);
    this.#selfSealer.add(holder, session.spender.unapplied);
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

  /** Takes tokens from the pool. If it has too few, fetches more from the ledger and from peers. */
  #fetchTokens(session: HolderSession, account: AccountId): void {
    const parts = this.#parts;
    const state = this.#journal?.state;
    if (!parts || !state || !parts.writer.reachable) return;
    const now = this.#options.context.clock.now();
    const amount = this.#waiting.sum(account);
    const shortfall = session.takeForWaiting(account, amount, state, this.#policy(), now);
    if (shortfall > 0) parts.fetchTokens(account, shortfall);
  }

  #refusal(shortage: ShortageReason): Refusal {
    return refuseShortage(shortage, this.#parts?.writer.reachable ?? false);
  }

  #policy(): SlicePolicy {
    return createSlicePolicy(this.#parts?.configuration.deployment.policy ?? 'avoid-overspend');
  }
}
