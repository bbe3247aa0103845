/** Keeps this instance's part of the prepaid budgets: reserves, reports, takes and gives back. */

import type {
  AccountId,
  PrepaidPage,
  PrepaidReservation,
  Refusal,
  RouteTable,
  Tokens,
} from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type {
  Collection,
  PlatformError as StoreError,
  VersionedObject,
} from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import {
  PrepaidHolder,
  PrepaidSizing,
  applyReport,
  createPrepaidPage,
  hasReport,
  heldPrepaid,
  remainingPrepaid,
  ungrantedPrepaid,
} from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { notRun } from '@flamingocourse/router';
import { Result } from 'true-myth';
import { prepaidPageSchema } from '../utils/prepaidPageSchema.js';
import { BackendLanes } from './backendLanes.js';
import { ConfigurationWatch } from './configurationWatch.js';
import { StoreContact } from './storeContact.js';

const pages: Collection<PrepaidPage> = { name: 'prepaid-pages', schema: prepaidPageSchema };
/** One page holds all accounts: some hundred bytes for each account and instance. */
const PAGE_NAME = '0';
/** Conflicts in a row after which a report waits for its next turn. */
const MAX_CONFLICTS = 8;
/** Milliseconds after which a page is too old to say that a budget is used up. */
const PAGE_FRESH_MS = 300;
/** Milliseconds for which a page that has too few tokens to grant is not asked again. */
const SHORT_FRESH_MS = 250;
/** Part of the report period by which instances that started together drift apart. */
const REPORT_JITTER = 0.3;
/** Milliseconds between tries while the store is away; tokens run out meanwhile. */
const AWAY_RETRY_MS = 200;
/** Milliseconds for a call while the store is away; only a new connection notices its return soon. */
const AWAY_TIMEOUT_MS = 500;
/** Milliseconds after which a caller that was refused for want of tokens may find some. */
const TOKENS_RETRY_MS = 400;

/** Outcome of one exchange with the store. */
type SyncEnd = 'done' | 'failed';

/** Registered as `prepaid`. */
export class PrepaidService extends Service {
  override readonly name = 'prepaid';
  override readonly dependsOn = ['configuration', 'lanes'];
  readonly #context: GatewayContext;
  readonly #holder: PrepaidHolder;
  #lanes: BackendLanes | undefined;
  #configuration: ConfigurationWatch | undefined;
  #page: VersionedObject<PrepaidPage> | undefined;
  #pageAt = -Infinity;
  #running: Promise<SyncEnd> | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** Whether the store answered the last exchange. */
  readonly #contact: StoreContact;
  #stopped = false;

  constructor(context: GatewayContext, incarnation: string) {
    super();
    this.#context = context;
    this.#contact = new StoreContact(context, this.name);
    const { rideThroughSeconds } = context.settings.prepaid;
    const sizing = new PrepaidSizing({ rideThroughSeconds });
    this.#holder = new PrepaidHolder(context.settings.instance, incarnation, sizing);
  }

  override start(kernel: Kernel): void {
    this.#lanes = kernel.get('lanes', BackendLanes);
    this.#configuration = kernel.get('configuration', ConfigurationWatch);
    this.#configuration.onChange(() => {
      void this.#sync();
    });
    this.#schedule();
  }

  /** Reports the rest and gives everything back. */
  override async stop(): Promise<void> {
    clearTimeout(this.#timer);
    this.#stopped = true;
    await this.#running;
    await this.#sync(true);
  }

  /**
   * Sets the most that a request may use aside. What is lacking is fetched from the store, which
   * takes some milliseconds; while the store is away the request is refused at once instead.
   */
  async reserve(account: AccountId, amount: Tokens): Promise<Result<PrepaidReservation, Refusal>> {
    const { clock } = this.#context;
    this.#holder.observe(account, amount, clock.now());
    const held = this.#holder.reserve(account, amount);
    if (held) return Result.ok(held);
    if (!this.#contact.isLost && !this.#isShort(account, amount)) {
      // one exchange may have been under way that did not ask for these tokens yet.
      await this.#running;
      await this.#sync();
      const fetched = this.#holder.reserve(account, amount);
      if (fetched) return Result.ok(fetched);
    }
    return Result.err(this.#refuse(account, amount));
  }

  /** Ends a reservation with what was used. */
  settle(reservation: PrepaidReservation, used: Tokens): void {
    this.#holder.settle(reservation, used);
  }

  /** Whether a page just seen has too few tokens left to grant. */
  #isShort(account: AccountId, amount: Tokens): boolean {
    if (this.#context.clock.now() - this.#pageAt > SHORT_FRESH_MS) return false;
    const entry = this.#page?.value.accounts[account];
    const limit = this.#table?.prepaid.get(account) ?? Infinity;
    if (!entry) return false;
    return this.#holder.free(account) + ungrantedPrepaid(entry, limit) < amount;
  }

  #schedule(): void {
    if (this.#stopped) return;
    const { settings, random } = this.#context;
    const { reportMs } = settings.prepaid;
    // instances that report in the same moment conflict with each other again and again.
    const jittered = reportMs * (1 - REPORT_JITTER / 2 + REPORT_JITTER * random());
    this.#timer = setTimeout(
      () => {
        void this.#sync().finally(() => {
          this.#schedule();
        });
      },
      this.#contact.isLost ? AWAY_RETRY_MS : jittered,
    );
  }

  #refuse(account: AccountId, amount: Tokens): Refusal {
    const { clock, log } = this.#context;
    const usedUp = this.#isUsedUp(account, amount);
    log.write('prepaid-refused', {
      account,
      amount,
      free: this.#holder.free(account),
      held: this.#holder.held(account),
      remaining: this.#remaining(account),
      limit: this.#table?.prepaid.get(account),
      inDoubt: this.#page?.value.accounts[account]?.inDoubt,
      pageAgeMs: Math.round(clock.now() - this.#pageAt),
      usedUp,
    });
    if (usedUp) {
      return notRun('budget-exhausted', 'The prepaid budget does not cover this request.');
    }
    const detail = 'The tokens to cover this request cannot be had here now; retry soon.';
    return notRun('budget-unreachable', detail, TOKENS_RETRY_MS);
  }

  /** Whether a fresh page proves that the budget can't cover the amount, whoever holds the rest. */
  #isUsedUp(account: AccountId, amount: Tokens): boolean {
    if (this.#context.clock.now() - this.#pageAt > PAGE_FRESH_MS) return false;
    // what was spent here since the last report is in no page yet.
    return this.#remaining(account) - this.#holder.unreported(account) < amount;
  }

  #remaining(account: AccountId): Tokens {
    const limit = this.#table?.prepaid.get(account) ?? Infinity;
    return remainingPrepaid(this.#page?.value.accounts[account], limit);
  }

  get #table(): RouteTable | undefined {
    return this.#configuration?.table;
  }

  #sync(last = false): Promise<SyncEnd> {
    this.#running ??= this.#report(last).finally(() => {
      this.#running = undefined;
    });
    return this.#running;
  }

  async #report(last: boolean): Promise<SyncEnd> {
    const limits = this.#table?.prepaid;
    if (!limits || limits.size === 0) return 'done';
    const page = this.#page ?? (await this.#read());
    if (!page) return this.#fail('page not read');
    const report = this.#holder.beginReport(page.value, limits, this.#context.clock.now(), last);
    if (!report) return 'done';
    let current: VersionedObject<PrepaidPage> | undefined = page;
    for (let tries = 0; current && tries < MAX_CONFLICTS; tries += 1) {
      if (hasReport(current.value, report)) return this.#confirm(current);
      const next = applyReport(current.value, report, limits);
      const written: Result<
        VersionedObject<PrepaidPage>,
        StoreError
      > = await this.#context.store.update(pages, PAGE_NAME, current.version, next);
      if (written.isOk) return this.#confirm(written.value);
      if (written.error.code !== 'conflict') return this.#fail(written.error.message);
      current = this.#parseCurrent(written.error.current) ?? (await this.#read());
    }
    // others were quicker each time; the store itself is there.
    return current ? 'failed' : this.#fail('page not read');
  }

  #confirm(page: VersionedObject<PrepaidPage>): SyncEnd {
    const { log, metrics } = this.#context;
    const report = this.#holder.pending;
    this.#keep(page);
    this.#holder.confirm(page.value);
    this.#contact.heard();
    const accounts = Object.keys(report?.entries ?? {});
    log.write('prepaid-reported', {
      version: page.version,
      seq: report?.seq,
      accounts: accounts.length,
      spent: sum(Object.values(report?.entries ?? {}).map((entry) => entry.spent)),
      held: sum(accounts.map((account) => this.#holder.held(account))),
      ...pageTotals(page.value, this.#table),
    });
    for (const account of accounts) {
      metrics.gauge('prepaid_held_tokens', 'tokens held', this.#holder.held(account), { account });
    }
    this.#lanes?.setInstances(Object.keys(page.value.writers).length);
    return 'done';
  }

  // the report stays pending: its write may still take effect, so the same one is sent again.
  #fail(reason: string): SyncEnd {
    this.#page = undefined;
    const seq = this.#holder.pending?.seq;
    this.#contact.lose(reason, { seq });
    return 'failed';
  }

  #keep(page: VersionedObject<PrepaidPage>): void {
    this.#page = page;
    this.#pageAt = this.#context.clock.now();
  }

  async #read(): Promise<VersionedObject<PrepaidPage> | undefined> {
    const { store } = this.#context;
    const options = this.#contact.isLost ? { timeoutMs: AWAY_TIMEOUT_MS } : {};
    let read = await store.get(pages, PAGE_NAME, options);
    if (read.isErr && read.error.code === 'not-found') {
      read = await store.create(pages, PAGE_NAME, createPrepaidPage());
      if (read.isErr && read.error.code === 'exists') read = await store.get(pages, PAGE_NAME);
    }
    if (read.isErr) return undefined;
    this.#keep(read.value);
    return read.value;
  }

  #parseCurrent(
    current: VersionedObject<unknown> | undefined,
  ): VersionedObject<PrepaidPage> | undefined {
    if (!current) return undefined;
    const parsed = prepaidPageSchema.safeParse(current.value);
    if (!parsed.success) return undefined;
    const page = { ...current, value: parsed.data };
    this.#keep(page);
    return page;
  }
}

/** Totals over all accounts, for the log. */
function pageTotals(
  page: PrepaidPage,
  table: RouteTable | undefined,
): { limitAll: Tokens; spentAll: Tokens; heldAll: Tokens; inDoubtAll: Tokens } {
  const accounts = Object.values(page.accounts);
  return {
    limitAll: sum([...(table?.prepaid.values() ?? [])]),
    spentAll: sum(accounts.map((account) => account.spent)),
    heldAll: sum(accounts.map(heldPrepaid)),
    inDoubtAll: sum(accounts.map((account) => account.inDoubt)),
  };
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
