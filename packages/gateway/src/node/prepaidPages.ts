/** Writes reports to the page of this instance's group, and removes lost instances from pages. */

import type {
  AccountId,
  ForwardedReport,
  PrepaidLimits,
  PrepaidOutlook,
  PrepaidPage,
  PrepaidReport,
  PrepaidReportOutcome,
  Tokens,
} from '@flamingocourse/core';
import type { Collection, PlatformError as StoreError } from '@flamingocourse/store';
import type { Unit } from 'true-myth';
import type { GatewayContext } from '../types/context.js';
import type { ChangeOutcome } from './storedObject.js';
import {
  MemberFailureDetector,
  applyReport,
  canApplyForwarded,
  createPrepaidPage,
  dropWriter,
  hasReport,
  isFenced,
  isUnreadable,
  reportersBetween,
  membersOf,
  nextGroup,
  returnSurplus,
  takeGrants,
  unallocatedPrepaid,
  entryOf,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { encodePrepaidPage, prepaidPageSchema } from '../utils/prepaidSchemas.js';
import { PrepaidGrants } from './prepaidGrants.js';
import { StoredObject } from './storedObject.js';
import { UnreadableAccounts } from './unreadableAccounts.js';

const pageCollection: Collection<PrepaidPage> = {
  name: 'prepaid-pages',
  schema: prepaidPageSchema,
  encode: encodePrepaidPage,
};

/**
 * Timeout of a call in milliseconds while the store is unreachable. It is short because a call on a
 * new connection detects sooner than a pending one that the store is reachable again.
 */
const UNREACHABLE_TIMEOUT_MS = 500;

/** Consecutive conflicts after which another instance is asked to write a report. */
const CONFLICTS_BEFORE_FORWARDING = 3;

/** Asks an instance to write a report of this one. Undefined if it does not answer. */
export type ForwardReport = (
  writer: string,
  forwarded: ForwardedReport,
) => Promise<PrepaidReportOutcome | undefined>;

/** A page that this instance checks for lost members. */
interface WatchedPage {
  group: string;
  page: StoredObject<PrepaidPage>;
  watch: MemberFailureDetector;
  unreadable: UnreadableAccounts;
}

/**
 * Access of one instance to the stored objects of prepaid budgets.
 *
 * @example
 * const opened = await pages.open(false);
 * if (opened.isOk) await pages.send(report, limits);
 */
export class PrepaidPages {
  readonly #context: GatewayContext;
  readonly #grants: PrepaidGrants;
  readonly #forward: ForwardReport;
  #own: WatchedPage | undefined;
  #next: WatchedPage | undefined;
  #maintainedAt: number;

  constructor(context: GatewayContext, forward: ForwardReport) {
    this.#context = context;
    this.#forward = forward;
    this.#grants = new PrepaidGrants(context);
    this.#maintainedAt = this.#now();
  }

  /** The group's page as last read; may be out of date. */
  get page(): PrepaidPage | undefined {
    return this.#own?.page.lastKnown;
  }

  /** Whether no call has failed since the page was read. */
  get isCurrent(): boolean {
    return this.#own?.page.value !== undefined;
  }

  get version(): string | undefined {
    return this.#own?.page.version;
  }

  get group(): string {
    return this.#grants.group;
  }

  /** Number of instances in all groups; at least 1. */
  get instances(): number {
    return this.#grants.instances;
  }

  /** Number of instances in other groups. */
  get instancesElsewhere(): number {
    return this.#grants.instancesElsewhere;
  }

  /** Returns the number of conflicts since the last call, for the log, and resets it. */
  takeConflicts(): number {
    return this.#grants.takeConflicts() + (this.#own?.page.takeConflicts() ?? 0);
  }

  /** Milliseconds since the page was read or written. */
  ageMs(now: number): number {
    return this.#own?.page.ageMs(now) ?? Infinity;
  }

  /** Inputs for sizing a report, as far as the group's page does not contain them. */
  outlook(limits: PrepaidLimits): Map<AccountId, PrepaidOutlook> {
    return this.#grants.outlook(limits);
  }

  /** Tokens that this instance could get, according to the last read. */
  available(account: AccountId, limit: Tokens): Tokens {
    if (this.page && isUnreadable(this.page, account)) return 0;
    const entry = entryOf(this.page?.accounts, account);
    return this.#grants.ungranted(account, limit) + (entry ? unallocatedPrepaid(entry) : 0);
  }

  /** Upper bound of the tokens left of an account, according to the last read. */
  left(account: AccountId, limit: Tokens): Tokens {
    return this.#grants.left(account, limit, this.page);
  }

  /** Requires all objects to be read again, because a write with an unknown outcome may have changed them. */
  forget(): void {
    this.#grants.forget();
    this.#own?.page.forget();
  }

  /**
   * Joins a group if this instance has none, and reads the page if it is unknown.
   *
   * @param away whether the store did not answer the previous call.
   */
  async open(away: boolean): Promise<Result<PrepaidPage, StoreError>> {
    const options = away ? { timeoutMs: UNREACHABLE_TIMEOUT_MS } : {};
    const joined = await this.#grants.join(options);
    if (joined.isErr) return Result.err(joined.error);
    if (this.#own?.group !== this.group) this.#own = this.#createWatchedPage(this.group);
    const { page, unreadable } = this.#own;
    const opened = page.value ? Result.ok(page.value) : await page.read(this.#now(), options);
    if (opened.isOk) unreadable.note(opened.value.unreadable);
    return opened;
  }

  /** Writes a report to the page. This is idempotent, so it may be repeated after an error. */
  async send(
    report: PrepaidReport,
    limits: PrepaidLimits,
  ): Promise<Result<PrepaidReportOutcome, StoreError>> {
    const own = this.#own;
    if (!own?.page.value) return Result.ok('busy');
    // other instances have usually reported since the last read. A write on that copy would conflict and
    // waste a call.
    const read = await own.page.read(this.#now(), { stale: true });
    if (read.isErr) return Result.err(read.error);
    const seen = read.value;
    if (isFenced(seen, report)) return Result.ok('fenced');
    if (!hasReport(seen, report)) {
      const asked = await this.#grants.ask(seen, report, limits);
      if (asked.isErr) return Result.err(asked.error);
      if (asked.value === 'busy') this.#logBusy('grants');
    }
    const written = await this.#writeOrForward(own, report, limits);
    if (written.isErr) return Result.err(written.error);
    return this.#afterWrite(own, report, written.value, limits);
  }

  /**
   * Writes a report for another instance of the group, whose own writes conflict with those of faster
   * ones.
   */
  async sendFor(
    forwarded: ForwardedReport,
    limits: PrepaidLimits,
  ): Promise<Result<PrepaidReportOutcome, StoreError>> {
    const { report } = forwarded;
    const own = this.#own;
    const seen = own?.page.value;
    if (!own || !seen) return Result.ok('busy');
    if (canApplyForwarded(seen, forwarded)) {
      const asked = await this.#grants.ask(seen, report, limits);
      if (asked.isErr) return Result.err(asked.error);
    }
    const written = await own.page.change((page) => {
      return canApplyForwarded(page, forwarded) ? this.#apply(page, report, limits) : page;
    }, this.#now());
    if (written.isErr) return Result.err(written.error);
    return this.#afterWrite(own, report, written.value, limits);
  }

  /**
   * Writes a report. After some conflicts, asks an instance whose reports were applied meanwhile to write
   * it: a slow instance could otherwise lose every conflict for as long as the others report.
   */
  async #writeOrForward(
    { group, page }: WatchedPage,
    report: PrepaidReport,
    limits: PrepaidLimits,
  ): Promise<Result<ChangeOutcome, StoreError>> {
    const apply = (value: PrepaidPage): PrepaidPage => this.#apply(value, report, limits);
    const before = page.value ?? createPrepaidPage();
    const alone = await page.change(apply, this.#now(), CONFLICTS_BEFORE_FORWARDING);
    if (alone.isErr || alone.value !== 'busy') return alone;
    const after = page.value ?? before;
    const writer = reportersBetween(before, after).find((name) => name !== report.instance);
    const replaces = entryOf(after.writers, report.instance)?.incarnation;
    // the page shows nothing of a last report, so its outcome would be unknown.
    if (writer !== undefined && !report.last) {
      const outcome = await this.#forward(writer, { group, report, replaces });
      this.#context.log.write('prepaid-forwarded', { group, writer, seq: report.seq, outcome });
      const read = await page.read(this.#now());
      if (read.isErr) return Result.err(read.error);
    }
    return page.change(apply, this.#now());
  }

  async #afterWrite(
    own: WatchedPage,
    report: PrepaidReport,
    outcome: ChangeOutcome,
    limits: PrepaidLimits,
  ): Promise<Result<PrepaidReportOutcome, StoreError>> {
    const { value } = own.page;
    if (outcome === 'busy' || !value) {
      this.#logBusy('page');
      return Result.ok('busy');
    }
    if (outcome === 'unchanged') {
      return Result.ok(hasReport(value, report) ? 'taken' : 'fenced');
    }
    const returned = await this.#grants.takeReturns(own.group, value, limits);
    return returned.isOk ? Result.ok('taken') : Result.err(returned.error);
  }

  /** Ends the membership of this instance after its last report was written. */
  async leave(): Promise<Result<Unit, StoreError>> {
    const { instance } = this.#context.settings;
    const left = await this.#grants.leave([instance]);
    if (left.isErr) return Result.err(left.error);
    this.#context.log.write('prepaid-group-left', { group: this.group, instances: instance });
    return Result.ok();
  }

  /**
   * At intervals of `tendMs`, removes lost instances from this instance's group and the next group, and
   * marks their tokens as in doubt. Otherwise lost members would fill groups and use up their share of the
   * fleet's retry allowance, and the grants of a lost group would stay unused.
   */
  async maintain(limits: PrepaidLimits): Promise<Result<Unit, StoreError>> {
    const now = this.#now();
    if (!this.#own || now - this.#maintainedAt < this.#context.settings.prepaid.tendMs) {
      return Result.ok();
    }
    this.#maintainedAt = now;
    const next = nextGroup(this.#grants.known, this.group);
    if (this.#next?.group !== next) this.#next = this.#createWatchedPage(next);
    for (const watched of next === this.group ? [this.#own] : [this.#own, this.#next]) {
      const tended = await this.#maintainPage(watched, limits);
      if (tended.isErr) return tended;
    }
    return Result.ok();
  }

  async #maintainPage(
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

  /** Logs that all attempts conflicted with other writers; the change waits for the next exchange. */
  #logBusy(object: 'page' | 'grants'): void {
    const { log } = this.#context;
    log.write('prepaid-busy', { object, group: this.group, conflicts: this.takeConflicts() });
  }

  #createWatchedPage(group: string): WatchedPage {
    const { store, settings, log } = this.#context;
    return {
      group,
      page: new StoredObject(store, pageCollection, group, createPrepaidPage),
      watch: new MemberFailureDetector(settings.prepaid.silentMs),
      unreadable: new UnreadableAccounts(log, `${pageCollection.name}/${group}`),
    };
  }

  #now(): number {
    return this.#context.clock.now();
  }
}
