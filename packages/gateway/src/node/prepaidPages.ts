/** Carries reports to the page of this instance's group, and has the group granted what it lacks. */

import type {
  AccountId,
  PrepaidBudgets,
  PrepaidLimits,
  PrepaidOutlook,
  PrepaidPage,
  PrepaidReport,
  Tokens,
} from '@flamingocourse/core';
import type { Collection, PlatformError as StoreError } from '@flamingocourse/store';
import type { Unit } from 'true-myth';
import type { GatewayContext } from '../types/context.js';
import { setTimeout as delay } from 'node:timers/promises';
import {
  applyReport,
  createPrepaidBudgets,
  createPrepaidPage,
  grantPrepaid,
  hasReport,
  hasReturns,
  joinGroup,
  lackingPrepaid,
  leftPrepaid,
  prepaidOutlook,
  returnSurplus,
  takeGrants,
  undealtPrepaid,
  ungrantedPrepaid,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { prepaidBudgetsSchema, prepaidPageSchema } from '../utils/prepaidSchemas.js';
import { StoredObject } from './storedObject.js';

const budgetCollection: Collection<PrepaidBudgets> = {
  name: 'prepaid-budgets',
  schema: prepaidBudgetsSchema,
};
const pageCollection: Collection<PrepaidPage> = {
  name: 'prepaid-pages',
  schema: prepaidPageSchema,
};
const BUDGETS_NAME = 'all';

/**
 * Most instances of a group. Twelve that report each second or two conflict now and then; their page
 * of 24 accounts has 12 KB, which a link of 7 Mbit/s carries in 14 ms.
 */
const GROUP_SIZE = 12;
/** Conflicts in a row after which an exchange waits for its next turn. */
const MAX_CONFLICTS = 8;
/** Milliseconds after which the shared object is read again: new members share the fleet's retries. */
const BUDGETS_FRESH_MS = 4_000;
/**
 * Milliseconds over which instances that start together spread their joining. A join takes some ten
 * milliseconds, so two of 73 that start at once get in each other's way now and then.
 */
const JOIN_SPREAD_MS = 400;
/** Milliseconds for a call while the store is away; only a new connection notices its return soon. */
const AWAY_TIMEOUT_MS = 500;

/** What became of a report: taken in, or to be sent again because others were quicker each time. */
export type SendEnd = 'taken' | 'busy';

/**
 * The stored side of prepaid budgets at one instance.
 *
 * @example
 * const opened = await pages.open(false);
 * if (opened.isOk) await pages.send(report, limits);
 */
export class PrepaidPages {
  readonly #context: GatewayContext;
  readonly #budgets: StoredObject<PrepaidBudgets>;
  #page: StoredObject<PrepaidPage> | undefined;
  #group = '';
  #conflicts = 0;

  constructor(context: GatewayContext) {
    this.#context = context;
    const { store } = context;
    this.#budgets = new StoredObject(store, budgetCollection, BUDGETS_NAME, createPrepaidBudgets);
  }

  /** The group's page as last seen. */
  get page(): PrepaidPage | undefined {
    return this.#page?.value;
  }

  get version(): string | undefined {
    return this.#page?.version;
  }

  get group(): string {
    return this.#group;
  }

  /** Instances that ever joined; at least this one. */
  get instances(): number {
    return Math.max(1, Object.keys(this.#budgets.value?.members ?? {}).length);
  }

  /** Conflicts since this was last asked, for the log. */
  takeConflicts(): number {
    const conflicts = this.#conflicts;
    this.#conflicts = 0;
    return conflicts;
  }

  /** Milliseconds since the page was seen. */
  ageMs(now: number): number {
    return this.#page?.ageMs(now) ?? Infinity;
  }

  /** What a report is sized by beyond the page. */
  outlook(limits: PrepaidLimits): Map<AccountId, PrepaidOutlook> {
    return prepaidOutlook(this.#budgets.value ?? createPrepaidBudgets(), limits);
  }

  /** Tokens that this instance could get, as last seen. */
  available(account: AccountId, limit: Tokens): Tokens {
    const entry = this.page?.accounts[account];
    const ungranted = ungrantedPrepaid(this.#known, account, limit);
    return ungranted + (entry ? undealtPrepaid(entry) : 0);
  }

  /** The most of an account that can be left anywhere, as last seen. */
  left(account: AccountId, limit: Tokens): Tokens {
    const entry = this.page?.accounts[account];
    const here = entry ? entry.spent + entry.inDoubt : 0;
    const before = this.#known.grants[account]?.[this.#group]?.gone ?? 0;
    return Math.max(0, leftPrepaid(this.#known, account, limit) - Math.max(0, here - before));
  }

  /** After a write whose fate is not known everything is read anew. */
  forget(): void {
    this.#budgets.forget();
    this.#page?.forget();
  }

  /**
   * Joins a group if this instance has none, and reads what is not known.
   *
   * @param away whether the store did not answer before.
   */
  async open(away: boolean): Promise<Result<PrepaidPage, StoreError>> {
    const options = away ? { timeoutMs: AWAY_TIMEOUT_MS } : {};
    if (!this.#budgets.value || this.#budgets.ageMs(this.#now()) > BUDGETS_FRESH_MS) {
      const read = await this.#budgets.read(this.#now(), options);
      if (read.isErr) return Result.err(read.error);
    }
    const joined = await this.#join();
    if (joined.isErr) return Result.err(joined.error);
    const page = this.#page?.value;
    if (page) return Result.ok(page);
    const { store } = this.#context;
    this.#page ??= new StoredObject(store, pageCollection, this.#group, createPrepaidPage);
    return this.#page.read(this.#now(), options);
  }

  /** Has a report taken in; it is idempotent, so after an error it may be sent again. */
  async send(report: PrepaidReport, limits: PrepaidLimits): Promise<Result<SendEnd, StoreError>> {
    let asked = false;
    for (let tries = 0; tries < MAX_CONFLICTS; tries += 1) {
      const page = this.page;
      if (!this.#page || !page) break;
      if (hasReport(page, report)) return Result.ok('taken');
      if (!asked) {
        asked = true;
        const granted = await this.#grant(lackingPrepaid(page, report), limits);
        if (granted.isErr) return Result.err(granted.error);
      }
      const next = applyReport(takeGrants(page, this.#known, this.#group), report);
      const kept = returnSurplus(next, this.outlook(limits));
      const written = await this.#page.update(kept, this.#now());
      if (written.isErr) return Result.err(written.error);
      if (written.value === 'written') return this.#giveBack(kept, limits);
      this.#conflicts += 1;
    }
    return Result.ok('busy');
  }

  /** Has returns taken in; where that fails, the page still says them and a later report does it. */
  async #giveBack(page: PrepaidPage, limits: PrepaidLimits): Promise<Result<SendEnd, StoreError>> {
    for (let tries = 0; tries < MAX_CONFLICTS; tries += 1) {
      if (!hasReturns(page, this.#known, this.#group)) break;
      const next = grantPrepaid(this.#known, this.#group, page, new Map(), limits);
      const written = await this.#budgets.update(next, this.#now());
      if (written.isErr) return Result.err(written.error);
      if (written.value === 'written') this.#logReturns(page);
      else this.#conflicts += 1;
    }
    return Result.ok('taken');
  }

  #logReturns(page: PrepaidPage): void {
    const returned = Object.values(page.accounts).map((account) => account.returned);
    this.#context.log.write('prepaid-returned', {
      group: this.#group,
      version: this.#budgets.version,
      returnedAll: returned.reduce((total, amount) => total + amount, 0),
    });
  }

  /** Asks for what the group lacks, where anything may be left to grant. */
  async #grant(
    lacking: Map<AccountId, Tokens>,
    limits: PrepaidLimits,
  ): Promise<Result<Unit, StoreError>> {
    for (let tries = 0; tries < MAX_CONFLICTS; tries += 1) {
      const wanted = this.#grantable(lacking, limits);
      const { page } = this;
      if (wanted.size === 0 || !page) break;
      const next = grantPrepaid(this.#known, this.#group, page, wanted, limits);
      const written = await this.#budgets.update(next, this.#now());
      if (written.isErr) return Result.err(written.error);
      if (written.value === 'conflict') {
        this.#conflicts += 1;
        continue;
      }
      this.#context.log.write('prepaid-granted', {
        group: this.#group,
        version: this.#budgets.version,
        accounts: [...wanted.keys()].join(' '),
        lacked: [...wanted.values()].reduce((total, lacks) => total + lacks, 0),
      });
      break;
    }
    return Result.ok();
  }

  /** What is lacking still once the known grants are taken in, of accounts with a rest. */
  #grantable(lacking: Map<AccountId, Tokens>, limits: PrepaidLimits): Map<AccountId, Tokens> {
    const wanted = new Map<AccountId, Tokens>();
    for (const [account, lacks] of lacking) {
      const granted = this.#known.grants[account]?.[this.#group]?.granted ?? 0;
      const stillLacks =
        lacks - Math.max(0, granted - (this.page?.accounts[account]?.granted ?? 0));
      const rest = ungrantedPrepaid(this.#known, account, limits.get(account) ?? 0);
      if (stillLacks > 0 && rest > 0) wanted.set(account, stillLacks);
    }
    return wanted;
  }

  async #join(): Promise<Result<Unit, StoreError>> {
    const { settings, random, log } = this.#context;
    while (this.#known.members[settings.instance] === undefined) {
      const next = joinGroup(this.#known, settings.instance, GROUP_SIZE);
      const written = await this.#budgets.update(next, this.#now());
      if (written.isErr) return Result.err(written.error);
      if (written.value === 'written') break;
      // instances that start together would conflict with each other again; and the copy has to be
      // read after the pause, because another's write during it would make it outdated each time.
      await delay(random() * JOIN_SPREAD_MS);
      const read = await this.#budgets.read(this.#now());
      if (read.isErr) return Result.err(read.error);
    }
    const group = this.#known.members[settings.instance] ?? '';
    if (group !== this.#group) log.write('prepaid-group-joined', { group });
    this.#group = group;
    return Result.ok();
  }

  get #known(): PrepaidBudgets {
    return this.#budgets.value ?? createPrepaidBudgets();
  }

  #now(): number {
    return this.#context.clock.now();
  }
}
