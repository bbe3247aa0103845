/**
 * Moves tokens between the ledger and the journal of this data centre. One router per ledger page,
 * chosen among the live ones, does this. Two routers that both consider themselves chosen are
 * harmless: each update is conditional and sets totals instead of adding differences.
 */

import type {
  AccountId,
  BudgetView,
  EpochMs,
  JournalState,
  LedgerAccount,
  LedgerFault,
  LedgerPage,
  SlicePolicy,
  Tokens,
} from '@flamingocourse/core';
import type { Clock } from '@flamingocourse/kernel';
import type { Configuration } from '../../types/configuration.js';
import type { Fleet } from '../../types/fleet.js';
import type { JournalWriter } from './lineTransport.js';
import type { MoneyPeers, ObjectStore } from '../../types/moneyPorts.js';
import {
  checkLedgerInvariant,
  createLedgerPage,
  pageOf,
  pool,
  recordGrant,
  startReturn,
  ungranted,
  entryOf,
  setEntry,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { GroupWriter } from './groupWriter.js';
import { DemandTracker } from './demandTracker.js';
import type { LedgerPlanInput } from './ledgerPlan.js';
import { planPage } from './ledgerPlan.js';

/** Time for which changes of one ledger page are collected before a write, in milliseconds. */
const LEDGER_GROUP_MS = 5;

/**
 * Minimum interval between two recalls of tokens of one account from other data centres, in
 * milliseconds. Several fit into the time that a request waits, because a recall may come before
 * the other data centre has tokens to return.
 */
const RECALL_INTERVAL_MS = 100;

/** Pause of own refills, in milliseconds, after tokens were returned for another data centre. */
const REFILL_PAUSE_MS = 1_000;

/**
 * Time for which a pool must exceed `RETURN_FACTOR` times its target before its surplus is
 * returned, in milliseconds.
 */
const SURPLUS_MS = 2_000;

/** Multiple of the sync interval at which routers read the pages that they do not sync. */
const READ_INTERVAL_FACTOR = 5;

/** Maximum number of peers that are asked for tokens in each other data centre. */
const MAX_RECALLS_PER_DATA_CENTRE = 4;

/** Multiple of the target above which a pool returns its surplus to the ledger. */
const RETURN_FACTOR = 2;

/** Options of {@link LedgerSync}. */
export interface LedgerSyncOptions {
  fleet: Fleet;
  configuration: Configuration;
  store: ObjectStore;
  peers: MoneyPeers;
  journal: JournalWriter;
  clock: Clock;
  policy: () => SlicePolicy;
  ledgerPages: number;
  ledgerSyncMs: number;
  onBudget: (account: AccountId, view: BudgetView) => void;
  onFailure: (err: unknown) => void;
}

type PageWriter = GroupWriter<LedgerPage, LedgerFault>;

/** Syncs ledger pages with the journal of this data centre. */
export class LedgerSync {
  readonly #options: LedgerSyncOptions;
  readonly #pages = new Map<number, PageWriter>();
  readonly #syncedAt = new Map<number, EpochMs>();
  readonly #running = new Map<number, Promise<void>>();
  readonly #recalledAt = new Map<AccountId, EpochMs>();
  readonly #refillPausedAt = new Map<AccountId, EpochMs>();
  readonly #surplusSince = new Map<AccountId, EpochMs>();
  readonly #demand = new DemandTracker();
  readonly #shortfalls = new Map<AccountId, Tokens>();

  constructor(options: LedgerSyncOptions) {
    this.#options = options;
  }

  /** Whether this router syncs the ledger page of an account. */
  owns(account: AccountId): boolean {
    return this.#ownsPage(pageOf(account, this.#options.ledgerPages));
  }

  /** Syncs the pages of this router that are due. Only reads the others, to update the budgets. */
  async tick(now: EpochMs): Promise<void> {
    for (let page = 0; page < this.#options.ledgerPages; page += 1) {
      if (this.#accountsOf(page).length === 0 || !this.#isDue(page, now)) continue;
      this.#syncedAt.set(page, now);
      if (this.#ownsPage(page)) await this.sync(page);
      else await this.#readBudgets(page);
    }
  }

  /** Requests a pool of at least `amount` tokens. Resolves once the attempt is finished. */
  async requestTokens(account: AccountId, amount: Tokens): Promise<void> {
    const { fleet, peers, ledgerPages } = this.#options;
    const page = pageOf(account, ledgerPages);
    const owner = fleet.localOwner(ledgerKey(page));
    if (owner.incarnation === fleet.self.incarnation) {
      this.#shortfalls.set(account, Math.max(amount, this.#shortfalls.get(account) ?? 0));
      await this.sync(page);
      return;
    }
    await peers.recall(owner.incarnation, account, amount, fleet.self.dataCentre);
  }

  /** Returns tokens of the pool to the ledger for another data centre. Resolves with the amount. */
  async returnToLedger(account: AccountId, amount: Tokens): Promise<Tokens> {
    const { journal, ledgerPages, clock } = this.#options;
    this.#refillPausedAt.set(account, clock.now());
    const before = entryOf(journal.latest?.state.accounts, account)?.returnedOut ?? 0;
    const total = before + amount;
    const written = await journal.change((state) => Result.ok(returnUpTo(state, account, total)));
    if (written.isErr) return 0;
    await this.#syncPage(pageOf(account, ledgerPages), new Map(), false);
    return Math.max(0, (entryOf(written.value.state.accounts, account)?.returnedOut ?? 0) - before);
  }

  /** Syncs one ledger page with the journal. A call during a running sync waits for that sync. */
  sync(page: number): Promise<void> {
    const running = this.#running.get(page);
    if (running) return running;
    const sync = this.#sync(page).finally(() => this.#running.delete(page));
    this.#running.set(page, sync);
    return sync;
  }

  /** Writes the queued changes and stops all writers. */
  async stop(): Promise<void> {
    await Promise.all([...this.#pages.values()].map((writer) => writer.stop()));
  }

  async #sync(page: number): Promise<void> {
    const shortfalls = new Map(this.#shortfalls);
    this.#shortfalls.clear();
    const ledger = await this.#syncPage(page, shortfalls, true);
    if (!ledger || shortfalls.size === 0) return;
    const recalled = await this.#recallShortfalls(ledger, shortfalls);
    // Syncs again at once, before the other data centres refill from the tokens that they returned.
    if (recalled > 0) await this.#syncPage(page, shortfalls, true);
  }

  /**
   * Copies counters to the ledger page, grants to the journal, and returns surplus to the ledger.
   */
  async #syncPage(
    page: number,
    shortfalls: Map<AccountId, Tokens>,
    refills: boolean,
  ): Promise<LedgerPage | undefined> {
    const { journal, clock } = this.#options;
    const read = await journal.refresh();
    // A stale copy of the page would not show tokens that another data centre has just returned.
    const opened = await this.#writer(page).refresh();
    if (read.isErr || opened.isErr) return undefined;
    const { state } = read.value;
    this.#demand.observe(state, clock.now());
    const input = { ...this.#planInput(state, shortfalls), refills };
    const accounts = this.#accountsOf(page);
    const written = await this.#writer(page).change((ledger) =>
      Result.ok(planPage(ledger, accounts, input)),
    );
    if (written.isErr) return undefined;
    const ledger = written.value.state;
    this.#publishBudgets(ledger);
    await this.#copyGrants(ledger);
    if (refills) await this.#returnSurplus(ledger, input.targets);
    return ledger;
  }

  #planInput(
    state: JournalState,
    shortfalls: Map<AccountId, Tokens>,
  ): Omit<LedgerPlanInput, 'refills'> {
    const { configuration, fleet, policy, clock } = this.#options;
    const members = [fleet.self, ...fleet.peers().map((peer) => peer.info)];
    return {
      state,
      shortfalls,
      policy: policy(),
      demandPerSecond: (account) => this.#demand.rate(account, clock.now()),
      rideThroughSeconds: configuration.deployment.rideThroughSeconds,
      dataCentres: new Set(members.map((member) => member.dataCentre)).size,
      now: clock.now(),
      // Without the pause, this data centre would refill before the one that asked gets the tokens.
      isRefillPaused: (account) =>
        clock.now() - (this.#refillPausedAt.get(account) ?? -Infinity) < REFILL_PAUSE_MS,
      targets: new Map<AccountId, Tokens>(),
    };
  }

  /**
   * Copies all grants of the page to the journal, also those that a failed owner had not copied.
   */
  async #copyGrants(ledger: LedgerPage): Promise<void> {
    const { journal, fleet } = this.#options;
    await journal.change((state) => {
      let next = state;
      for (const [account, entry] of Object.entries(ledger.accounts)) {
        const granted = entryOf(entry.shares, fleet.self.dataCentre)?.grantedIn ?? 0;
        next = recordGrant(next, account, granted);
      }
      return Result.ok(next);
    });
  }

  async #returnSurplus(ledger: LedgerPage, targets: Map<AccountId, Tokens>): Promise<void> {
    const state = this.#options.journal.latest?.state;
    for (const [account, entry] of Object.entries(ledger.accounts)) {
      const target = targets.get(account) ?? 0;
      const surplus = state ? pool(state, account) - target : 0;
      const isLasting = this.#isLastingSurplus(account, surplus > target * (RETURN_FACTOR - 1));
      if (surplus <= 0 || (entry.pendingReduction === 0 && !isLasting)) continue;
      await this.#options.journal.change((now) =>
        Result.ok(startReturn(now, account, Math.max(0, pool(now, account) - target))),
      );
    }
  }

  /**
   * Whether a surplus has lasted for `SURPLUS_MS`. Tokens fetched for a waiting request look like a
   * surplus until the request takes them.
   */
  #isLastingSurplus(account: AccountId, isAbove: boolean): boolean {
    const now = this.#options.clock.now();
    const since = isAbove ? (this.#surplusSince.get(account) ?? now) : undefined;
    if (since === undefined) this.#surplusSince.delete(account);
    else this.#surplusSince.set(account, since);
    return since !== undefined && now - since >= SURPLUS_MS;
  }

  /** Recalls tokens that the ledger does not have from the other data centres. */
  async #recallShortfalls(ledger: LedgerPage, shortfalls: Map<AccountId, Tokens>): Promise<Tokens> {
    let recalled = 0;
    const { journal, clock, fleet, peers } = this.#options;
    for (const [account, amount] of shortfalls) {
      const state = journal.latest?.state;
      const shortfall = amount - (state ? pool(state, account) : 0);
      const isRecent = clock.now() - (this.#recalledAt.get(account) ?? 0) < RECALL_INTERVAL_MS;
      const entry = entryOf(ledger.accounts, account);
      if (shortfall <= 0 || isRecent || !entry) continue;
      // The pool may be short only because tokens were taken since the grant, while the ledger
      // still has enough. Data centres that recall from each other in that case pass tokens back
      // and forth and refuse requests in the meantime.
      if (ungranted(entry) >= shortfall) continue;
      this.#recalledAt.set(account, clock.now());
      const recalls = this.#peersHolding(entry).map((peer) =>
        peers.recall(peer, account, shortfall, fleet.self.dataCentre),
      );
      for (const answer of await Promise.all(recalls)) recalled += answer.unwrapOr(0);
    }
    return recalled;
  }

  /** Returns some live peers of each other data centre that holds unspent tokens. */
  #peersHolding(entry: LedgerAccount): string[] {
    const { fleet } = this.#options;
    const chosen: string[] = [];
    const chosenPerDataCentre = new Map<string, number>();
    for (const { info, health } of fleet.peers()) {
      const share = entryOf(entry.shares, info.dataCentre);
      const held = share ? share.grantedIn - share.returnedOut - share.spent : 0;
      const isOther = info.dataCentre !== fleet.self.dataCentre;
      const count = chosenPerDataCentre.get(info.dataCentre) ?? 0;
      if (!isOther || held <= 0 || health !== 'alive' || count >= MAX_RECALLS_PER_DATA_CENTRE)
        continue;
      chosenPerDataCentre.set(info.dataCentre, count + 1);
      chosen.push(info.incarnation);
    }
    return chosen;
  }

  async #readBudgets(page: number): Promise<void> {
    const read = await this.#writer(page).refresh();
    if (read.isOk) this.#publishBudgets(read.value.state);
  }

  #publishBudgets(ledger: LedgerPage): void {
    for (const [account, entry] of Object.entries(ledger.accounts)) {
      this.#options.onBudget(account, budgetViewOf(entry, this.#options.fleet.self.dataCentre));
    }
  }

  #isDue(page: number, now: EpochMs): boolean {
    // Pages that are only read are read less often, because the reads of all routers add up at the
    // platform.
    const factor = this.#ownsPage(page) ? 1 : READ_INTERVAL_FACTOR;
    const age = now - (this.#syncedAt.get(page) ?? -Infinity);
    return age >= this.#options.ledgerSyncMs * factor;
  }

  #ownsPage(page: number): boolean {
    const { fleet } = this.#options;
    return fleet.localOwner(ledgerKey(page)).incarnation === fleet.self.incarnation;
  }

  #accountsOf(page: number): ReturnType<Configuration['accounts']> {
    const { configuration, ledgerPages } = this.#options;
    return configuration.accounts().filter(({ name }) => pageOf(name, ledgerPages) === page);
  }

  #writer(page: number): PageWriter {
    const known = this.#pages.get(page);
    if (known) return known;
    const writer: PageWriter = new GroupWriter({
      store: this.#options.store,
      collection: 'ledgers',
      name: String(page),
      initial: () => createLedgerPage(page),
      groupMs: LEDGER_GROUP_MS,
      findInvariantViolation: (state: LedgerPage) => describeOverGrant(checkLedgerInvariant(state)),
      onFailure: this.#options.onFailure,
    });
    writer.start();
    this.#pages.set(page, writer);
    return writer;
  }
}

/** Raises `returnedOut` up to a total, so that a repeated write returns nothing more. */
function returnUpTo(state: JournalState, account: AccountId, total: Tokens): JournalState {
  const returned = entryOf(state.accounts, account)?.returnedOut ?? 0;
  return startReturn(state, account, Math.max(0, total - returned));
}

function budgetViewOf(entry: LedgerAccount, dataCentre: string): BudgetView {
  const view: BudgetView = { limit: entry.limit, spentElsewhere: 0, spentElsewhereByClass: {} };
  for (const [id, share] of Object.entries(entry.shares)) {
    if (id === dataCentre) continue;
    view.spentElsewhere += share.spent;
    for (const [workClass, spent] of Object.entries(share.spentByClass ?? {})) {
      const sum = entryOf(view.spentElsewhereByClass, workClass) ?? 0;
      setEntry(view.spentElsewhereByClass, workClass, sum + spent);
    }
  }
  return view;
}

function ledgerKey(page: number): string {
  return `ledger/${page}`;
}

function describeOverGrant(account: AccountId | undefined): string | undefined {
  return account === undefined ? undefined : `account "${account}" is granted beyond its limit`;
}
