/** Carries reports to the page of this instance's group, and looks after pages whose instances are lost. */

import type {
  AccountId,
  PrepaidLimits,
  PrepaidOutlook,
  PrepaidPage,
  PrepaidReport,
  Tokens,
} from '@flamingocourse/core';
import type { Collection, PlatformError as StoreError } from '@flamingocourse/store';
import type { Unit } from 'true-myth';
import type { GatewayContext } from '../types/context.js';
import {
  MemberWatch,
  applyReport,
  createPrepaidPage,
  dropWriter,
  hasReport,
  isFenced,
  lackingPrepaid,
  membersOf,
  nextGroup,
  returnSurplus,
  takeGrants,
  undealtPrepaid,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { prepaidPageSchema } from '../utils/prepaidSchemas.js';
import { PrepaidGrants } from './prepaidGrants.js';
import { StoredObject } from './storedObject.js';

const pageCollection: Collection<PrepaidPage> = {
  name: 'prepaid-pages',
  schema: prepaidPageSchema,
};

/** Milliseconds for a call while the store is away; only a new connection notices its return soon. */
const AWAY_TIMEOUT_MS = 500;

/**
 * What became of a report: taken in; to be sent again because others were quicker each time; or refused
 * because the page has forgotten this process.
 */
export type SendEnd = 'taken' | 'busy' | 'fenced';

/** A page that this instance looks after. */
interface WatchedPage {
  group: string;
  page: StoredObject<PrepaidPage>;
  watch: MemberWatch;
}

/**
 * The stored side of prepaid budgets at one instance.
 *
 * @example
 * const opened = await pages.open(false);
 * if (opened.isOk) await pages.send(report, limits);
 */
export class PrepaidPages {
  readonly #context: GatewayContext;
  readonly #grants: PrepaidGrants;
  #own: WatchedPage | undefined;
  #next: WatchedPage | undefined;
  #tendedAt: number;

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#grants = new PrepaidGrants(context);
    this.#tendedAt = this.#now();
  }

  /** The group's page as last seen. */
  get page(): PrepaidPage | undefined {
    return this.#own?.page.value;
  }

  get version(): string | undefined {
    return this.#own?.page.version;
  }

  get group(): string {
    return this.#grants.group;
  }

  /** Instances of the fleet; at least this one. */
  get instances(): number {
    return this.#grants.instances;
  }

  /** Groups of instances that hold rights; at least the own one. */
  get groups(): number {
    return this.#grants.groups;
  }

  /** Conflicts since this was last asked, for the log. */
  takeConflicts(): number {
    return this.#grants.takeConflicts() + (this.#own?.page.takeConflicts() ?? 0);
  }

  /** Milliseconds since the page was seen. */
  ageMs(now: number): number {
    return this.#own?.page.ageMs(now) ?? Infinity;
  }

  /** What a report is sized by beyond the page. */
  outlook(limits: PrepaidLimits): Map<AccountId, PrepaidOutlook> {
    return this.#grants.outlook(limits);
  }

  /** Tokens that this instance could get, as last seen. */
  available(account: AccountId, limit: Tokens): Tokens {
    const entry = this.page?.accounts[account];
    return this.#grants.ungranted(account, limit) + (entry ? undealtPrepaid(entry) : 0);
  }

  /** The most of an account that can be left anywhere, as last seen. */
  left(account: AccountId, limit: Tokens): Tokens {
    return this.#grants.left(account, limit, this.page);
  }

  /** After a write whose fate is not known everything is read anew. */
  forget(): void {
    this.#grants.forget();
    this.#own?.page.forget();
  }

  /**
   * Joins a group if this instance has none, and reads what is not known.
   *
   * @param away whether the store did not answer before.
   */
  async open(away: boolean): Promise<Result<PrepaidPage, StoreError>> {
    const options = away ? { timeoutMs: AWAY_TIMEOUT_MS } : {};
    const joined = await this.#grants.join(options);
    if (joined.isErr) return Result.err(joined.error);
    if (this.#own?.group !== this.group) this.#own = this.#watched(this.group);
    const { page } = this.#own;
    return page.value ? Result.ok(page.value) : page.read(this.#now(), options);
  }

  /** Has a report taken in; it is idempotent, so after an error it may be sent again. */
  async send(report: PrepaidReport, limits: PrepaidLimits): Promise<Result<SendEnd, StoreError>> {
    const own = this.#own;
    if (!own?.page.value) return Result.ok('busy');
    // others have reported since this copy was seen: a report on it would conflict, which costs a call.
    const read = await own.page.read(this.#now(), { stale: true });
    if (read.isErr) return Result.err(read.error);
    const seen = read.value;
    if (isFenced(seen, report)) return Result.ok('fenced');
    if (!hasReport(seen, report)) {
      const asked = await this.#grants.ask(seen, lackingPrepaid(seen, report), limits);
      if (asked.isErr) return Result.err(asked.error);
      if (asked.value === 'busy') this.#logBusy('grants');
    }
    const sent = await own.page.change((page) => this.#apply(page, report, limits), this.#now());
    if (sent.isErr) return Result.err(sent.error);
    const { value } = own.page;
    if (sent.value === 'busy') {
      this.#logBusy('page');
      return Result.ok('busy');
    }
    if (sent.value === 'unchanged') {
      return Result.ok(hasReport(value, report) ? 'taken' : 'fenced');
    }
    const returned = await this.#grants.takeReturns(own.group, value, limits);
    return returned.isOk ? Result.ok('taken') : Result.err(returned.error);
  }

  /** Ends the membership of this instance, whose last report was taken in. */
  async leave(): Promise<Result<Unit, StoreError>> {
    const { instance } = this.#context.settings;
    const left = await this.#grants.leave([instance]);
    if (left.isErr) return Result.err(left.error);
    this.#context.log.write('prepaid-group-left', { group: this.group, instances: instance });
    return Result.ok();
  }

  /**
   * Now and then puts what lost instances held in doubt and takes them out, in the own group and in the
   * next one: members that are gone would fill groups and take their part of the fleet's retries, and
   * what a lost group was granted would lie idle.
   */
  async tend(limits: PrepaidLimits): Promise<Result<Unit, StoreError>> {
    const now = this.#now();
    if (!this.#own || now - this.#tendedAt < this.#context.settings.prepaid.tendMs) {
      return Result.ok();
    }
    this.#tendedAt = now;
    const next = nextGroup(this.#grants.known, this.group);
    if (this.#next?.group !== next) this.#next = this.#watched(next);
    for (const watched of next === this.group ? [this.#own] : [this.#own, this.#next]) {
      const tended = await this.#tendPage(watched, limits);
      if (tended.isErr) return tended;
    }
    return Result.ok();
  }

  async #tendPage(
    { group, page, watch }: WatchedPage,
    limits: PrepaidLimits,
  ): Promise<Result<Unit, StoreError>> {
    const read = await page.read(this.#now());
    if (read.isErr) return Result.err(read.error);
    const members = membersOf(this.#grants.known, group);
    const { instance } = this.#context.settings;
    const silent = watch.silent(members, read.value, this.#now());
    const lost = silent.filter((name) => name !== instance);
    if (lost.length === 0) return Result.ok();
    const outlook = this.outlook(limits);
    const dropped = await page.change((seen) => {
      const without = lost.reduce(dropWriter, seen);
      return without === seen ? seen : returnSurplus(without, outlook);
    }, this.#now());
    if (dropped.isErr) return Result.err(dropped.error);
    if (dropped.value === 'busy') return Result.ok();
    const left = await this.#grants.leave(lost);
    if (left.isErr) return Result.err(left.error);
    const instances = lost.join(' ');
    this.#context.log.write('prepaid-members-dropped', { group, instances, version: page.version });
    const { value } = page;
    const returned = value ? await this.#grants.takeReturns(group, value, limits) : undefined;
    return returned?.isErr ? Result.err(returned.error) : Result.ok();
  }

  #apply(page: PrepaidPage, report: PrepaidReport, limits: PrepaidLimits): PrepaidPage {
    if (hasReport(page, report) || isFenced(page, report)) return page;
    const next = applyReport(takeGrants(page, this.#grants.known, this.group), report);
    return returnSurplus(next, this.outlook(limits));
  }

  /** Others were quicker each time: what was wanted has to wait for the next exchange. */
  #logBusy(object: 'page' | 'grants'): void {
    const { log } = this.#context;
    log.write('prepaid-busy', { object, group: this.group, conflicts: this.takeConflicts() });
  }

  #watched(group: string): WatchedPage {
    const { store, settings } = this.#context;
    const page = new StoredObject(store, pageCollection, group, createPrepaidPage);
    return { group, page, watch: new MemberWatch(settings.prepaid.silentMs) };
  }

  #now(): number {
    return this.#context.clock.now();
  }
}
