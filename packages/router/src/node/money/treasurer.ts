/**
 * Moves tokens between the ledger and the journal of this data centre. One router per ledger page
 * does it, chosen among live peers; two that both believe to be chosen do no harm, because each
 * update is conditional and made from levels, not from steps.
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
import type { JournalWriter } from './lineRoutes.js';
import type { MoneyPeers, ObjectStore } from '../../types/moneyPorts.js';
import {
  checkLedgerInvariant,
  createLedgerPage,
  pageOf,
  pool,
  recordGrant,
  startReturn,
  ungranted,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { GroupWriter } from './groupWriter.js';
import { DemandBook } from './demandBook.js';
import type { LedgerSituation } from './ledgerPlan.js';
import { planPage } from './ledgerPlan.js';

/** Gathering of changes of one ledger page, in milliseconds. */
const LEDGER_GROUP_MS = 5;

/**
 * Least time between two questions to other data centres about one account, in milliseconds. Several
 * fit into the time that a request waits, because one question may come too early to find anything.
 */
const RECALL_INTERVAL_MS = 100;

/** Time for which tokens that were handed back for another data centre are left to it. */
const YIELD_MS = 1_000;

/** Time for which a pool must stand above its level before it is handed back. */
const SURPLUS_MS = 2_000;

/** Times the sync interval at which other routers read a page for their view of the budgets. */
const READER_FACTOR = 5;

/** Peers asked for tokens in each other data centre. */
const RECALLED_PEERS = 4;

/** A pool this many times its level hands the rest back to the ledger. */
const RETURN_FACTOR = 2;

/** What a treasurer is created with. */
export interface TreasurerOptions {
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

/** Ledger side of this router. */
export class Treasurer {
  readonly #options: TreasurerOptions;
  readonly #pages = new Map<number, PageWriter>();
  readonly #syncedAt = new Map<number, EpochMs>();
  readonly #running = new Map<number, Promise<void>>();
  readonly #recalledAt = new Map<AccountId, EpochMs>();
  readonly #yieldedAt = new Map<AccountId, EpochMs>();
  readonly #surplusSince = new Map<AccountId, EpochMs>();
  readonly #demand = new DemandBook();
  readonly #shortfalls = new Map<AccountId, Tokens>();

  constructor(options: TreasurerOptions) {
    this.#options = options;
  }

  /** Whether this router moves the tokens of an account. */
  owns(account: AccountId): boolean {
    return this.#ownsPage(pageOf(account, this.#options.ledgerPages));
  }

  /** Syncs the pages that are due; others are only read, for the view of the budgets. */
  async tick(now: EpochMs): Promise<void> {
    for (let page = 0; page < this.#options.ledgerPages; page += 1) {
      if (this.#accountsOf(page).length === 0 || !this.#isDue(page, now)) continue;
      this.#syncedAt.set(page, now);
      if (this.#ownsPage(page)) await this.sync(page);
      else await this.#readBudgets(page);
    }
  }

  /** Asks for a pool of `amount` tokens; resolves when it may have grown. */
  async request(account: AccountId, amount: Tokens): Promise<void> {
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

  /** Hands idle tokens of the pool back to the ledger, for another data centre. */
  async returnToLedger(account: AccountId, amount: Tokens): Promise<Tokens> {
    const { journal, ledgerPages, clock } = this.#options;
    this.#yieldedAt.set(account, clock.now());
    const before = journal.latest?.state.accounts[account]?.returnedOut ?? 0;
    const level = before + amount;
    const written = await journal.change((state) => Result.ok(returnUpTo(state, account, level)));
    if (written.isErr) return 0;
    await this.#settlePage(pageOf(account, ledgerPages), new Map(), false);
    return Math.max(0, (written.value.state.accounts[account]?.returnedOut ?? 0) - before);
  }

  /** Brings one ledger page and the journal together; a second call joins the one that runs. */
  sync(page: number): Promise<void> {
    const running = this.#running.get(page);
    if (running) return running;
    const sync = this.#sync(page).finally(() => this.#running.delete(page));
    this.#running.set(page, sync);
    return sync;
  }

  /** Ends all writers. */
  async stop(): Promise<void> {
    await Promise.all([...this.#pages.values()].map((writer) => writer.stop()));
  }

  async #sync(page: number): Promise<void> {
    const shortfalls = new Map(this.#shortfalls);
    this.#shortfalls.clear();
    const ledger = await this.#settlePage(page, shortfalls, true);
    if (!ledger || shortfalls.size === 0) return;
    const recalled = await this.#recallRest(ledger, shortfalls);
    // what others handed back is fetched at once, before their own refill takes it again.
    if (recalled > 0) await this.#settlePage(page, shortfalls, true);
  }

  /** One pass over a page: counters up, grants down, surplus back. */
  async #settlePage(
    page: number,
    shortfalls: Map<AccountId, Tokens>,
    refills: boolean,
  ): Promise<LedgerPage | undefined> {
    const { journal, clock } = this.#options;
    const read = await journal.refresh();
    // an old copy of the page would hide what another data centre has just handed back.
    const opened = await this.#writer(page).refresh();
    if (read.isErr || opened.isErr) return undefined;
    const { state } = read.value;
    this.#demand.observe(state, clock.now());
    const situation = { ...this.#situation(state, shortfalls), refills };
    const accounts = this.#accountsOf(page);
    const written = await this.#writer(page).change((ledger) =>
      Result.ok(planPage(ledger, accounts, situation)),
    );
    if (written.isErr) return undefined;
    const ledger = written.value.state;
    this.#publish(ledger);
    await this.#copyGrants(ledger);
    if (refills) await this.#returnSurplus(ledger, situation.levels);
    return ledger;
  }

  #situation(
    state: JournalState,
    shortfalls: Map<AccountId, Tokens>,
  ): Omit<LedgerSituation, 'refills'> {
    const { configuration, fleet, policy, clock } = this.#options;
    const members = [fleet.self, ...fleet.peers().map((peer) => peer.info)];
    return {
      state,
      shortfalls,
      policy: policy(),
      demand: (account) => this.#demand.rate(account, clock.now()),
      rideThroughSeconds: configuration.deployment.rideThroughSeconds,
      dataCentres: new Set(members.map((member) => member.dataCentre)).size,
      now: clock.now(),
      // the own refill would else win the race against the data centre that asked.
      yields: (account) => clock.now() - (this.#yieldedAt.get(account) ?? -Infinity) < YIELD_MS,
      levels: new Map<AccountId, Tokens>(),
    };
  }

  /** Also mends a copy that an earlier owner did not live to make. */
  async #copyGrants(ledger: LedgerPage): Promise<void> {
    const { journal, fleet } = this.#options;
    await journal.change((state) => {
      let next = state;
      for (const [account, entry] of Object.entries(ledger.accounts)) {
        const granted = entry.shares[fleet.self.dataCentre]?.grantedIn ?? 0;
        next = recordGrant(next, account, granted);
      }
      return Result.ok(next);
    });
  }

  async #returnSurplus(ledger: LedgerPage, levels: Map<AccountId, Tokens>): Promise<void> {
    const state = this.#options.journal.latest?.state;
    for (const [account, entry] of Object.entries(ledger.accounts)) {
      const level = levels.get(account) ?? 0;
      const surplus = state ? pool(state, account) - level : 0;
      const isLasting = this.#isLastingSurplus(account, surplus > level * (RETURN_FACTOR - 1));
      if (surplus <= 0 || (entry.pendingReduction === 0 && !isLasting)) continue;
      await this.#options.journal.change((now) =>
        Result.ok(startReturn(now, account, Math.max(0, pool(now, account) - level))),
      );
    }
  }

  /** Tokens just fetched for a waiting request look like a surplus until it takes them. */
  #isLastingSurplus(account: AccountId, isAbove: boolean): boolean {
    const now = this.#options.clock.now();
    const since = isAbove ? (this.#surplusSince.get(account) ?? now) : undefined;
    if (since === undefined) this.#surplusSince.delete(account);
    else this.#surplusSince.set(account, since);
    return since !== undefined && now - since >= SURPLUS_MS;
  }

  /** Asks the other data centres for tokens that the ledger no longer has. */
  async #recallRest(ledger: LedgerPage, shortfalls: Map<AccountId, Tokens>): Promise<Tokens> {
    let recalled = 0;
    const { journal, clock, fleet, peers } = this.#options;
    for (const [account, amount] of shortfalls) {
      const state = journal.latest?.state;
      const lacking = amount - (state ? pool(state, account) : 0);
      const lately = clock.now() - (this.#recalledAt.get(account) ?? 0) < RECALL_INTERVAL_MS;
      const entry = ledger.accounts[account];
      if (lacking <= 0 || lately || !entry) continue;
      // the pool may lack only what was taken from it since the grant. Data centres that ask each
      // other while the ledger has plenty hand tokens round, and refuse requests meanwhile.
      if (ungranted(entry) >= lacking) continue;
      this.#recalledAt.set(account, clock.now());
      const asked = this.#peersHolding(entry).map((peer) =>
        peers.recall(peer, account, lacking, fleet.self.dataCentre),
      );
      for (const answer of await Promise.all(asked)) recalled += answer.unwrapOr(0);
    }
    return recalled;
  }

  /** Some live peers in each other data centre that holds unspent tokens. */
  #peersHolding(entry: LedgerAccount): string[] {
    const { fleet } = this.#options;
    const chosen: string[] = [];
    const asked = new Map<string, number>();
    for (const { info, health } of fleet.peers()) {
      const share = entry.shares[info.dataCentre];
      const held = share ? share.grantedIn - share.returnedOut - share.spent : 0;
      const isOther = info.dataCentre !== fleet.self.dataCentre;
      const count = asked.get(info.dataCentre) ?? 0;
      if (!isOther || held <= 0 || health !== 'alive' || count >= RECALLED_PEERS) continue;
      asked.set(info.dataCentre, count + 1);
      chosen.push(info.incarnation);
    }
    return chosen;
  }

  async #readBudgets(page: number): Promise<void> {
    const read = await this.#writer(page).refresh();
    if (read.isOk) this.#publish(read.value.state);
  }

  #publish(ledger: LedgerPage): void {
    for (const [account, entry] of Object.entries(ledger.accounts)) {
      this.#options.onBudget(account, viewOf(entry, this.#options.fleet.self.dataCentre));
    }
  }

  #isDue(page: number, now: EpochMs): boolean {
    // whoever only reads does it more seldom: the platform counts the reads of the whole fleet.
    const factor = this.#ownsPage(page) ? 1 : READER_FACTOR;
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
      findFault: (state: LedgerPage) => overGranted(checkLedgerInvariant(state)),
      onFailure: this.#options.onFailure,
    });
    writer.start();
    this.#pages.set(page, writer);
    return writer;
  }
}

/** Raises `returnedOut` to a level, so that a repeated write returns nothing more. */
function returnUpTo(state: JournalState, account: AccountId, level: Tokens): JournalState {
  const returned = state.accounts[account]?.returnedOut ?? 0;
  return startReturn(state, account, Math.max(0, level - returned));
}

function viewOf(entry: LedgerAccount, dataCentre: string): BudgetView {
  const view: BudgetView = { limit: entry.limit, spentElsewhere: 0, spentElsewhereByClass: {} };
  for (const [id, share] of Object.entries(entry.shares)) {
    if (id === dataCentre) continue;
    view.spentElsewhere += share.spent;
    for (const [workClass, spent] of Object.entries(share.spentByClass ?? {})) {
      const sum = view.spentElsewhereByClass[workClass] ?? 0;
      view.spentElsewhereByClass[workClass] = sum + spent;
    }
  }
  return view;
}

function ledgerKey(page: number): string {
  return `ledger/${page}`;
}

function overGranted(account: AccountId | undefined): string | undefined {
  return account === undefined ? undefined : `account "${account}" is granted beyond its limit`;
}
