/** Access of one instance to the object that all groups share: its group membership and the group's grants. */

import type {
  AccountId,
  PrepaidBudgets,
  PrepaidLimits,
  PrepaidOutlook,
  PrepaidPage,
  PrepaidReport,
  Tokens,
} from '@flamingocourse/core';
import type { CallOptions, Collection, PlatformError as StoreError } from '@flamingocourse/store';
import type { Unit } from 'true-myth';
import type { GatewayContext } from '../types/context.js';
import type { ChangeOutcome } from './storedObject.js';
import { setTimeout as delay } from 'node:timers/promises';
import {
  applyReport,
  createPrepaidBudgets,
  grantPrepaid,
  hasReturns,
  joinGroup,
  leaveGroup,
  maxRemainingPrepaid,
  membersOf,
  prepaidOutlook,
  prepaidShortfalls,
  sum,
  ungrantedPrepaid,
  wantedGrants,
  entryOf,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { encodePrepaidBudgets, prepaidBudgetsSchema } from '../utils/prepaidSchemas.js';
import { StoredObject } from './storedObject.js';
import { UnreadableAccounts } from './unreadableAccounts.js';

const budgetCollection: Collection<PrepaidBudgets> = {
  name: 'prepaid-budgets',
  schema: prepaidBudgetsSchema,
  encode: encodePrepaidBudgets,
};
const BUDGETS_NAME = 'all';

/**
 * Maximum number of instances in a group. Conflicts grow faster than the group, because both the number of
 * reports and the size of the page grow. Over a 7 Mbit/s link the page takes one millisecond per instance.
 */
const MAX_GROUP_SIZE = 10;
/**
 * Maximum age of the shared object in milliseconds. After that it is read again to see new members, because the
 * fleet's retry allowance is divided among all members.
 */
const BUDGETS_MAX_AGE_MS = 4_000;
/**
 * Milliseconds over which instances that start together spread their joins. A join takes about 10 ms, so of
 * 73 instances that start at once, two occasionally conflict.
 */
const JOIN_JITTER_MS = 400;

/**
 * Group membership of this instance and grants of its group.
 *
 * @example
 * const joined = await grants.join();
 * if (joined.isOk) await grants.ask(page, shortfalls, limits);
 */
export class PrepaidGrants {
  readonly #context: GatewayContext;
  readonly #budgets: StoredObject<PrepaidBudgets>;
  readonly #unreadable: UnreadableAccounts;
  #group = '';

  constructor(context: GatewayContext) {
    this.#context = context;
    const { store, log } = context;
    this.#budgets = new StoredObject(store, budgetCollection, BUDGETS_NAME, createPrepaidBudgets);
    this.#unreadable = new UnreadableAccounts(log, budgetCollection.name);
  }

  /** Name of the group; empty before this instance has joined one. */
  get group(): string {
    return this.#group;
  }

  /** The shared object as last read; may be out of date. */
  get known(): PrepaidBudgets {
    return this.#budgets.lastKnown ?? createPrepaidBudgets();
  }

  /** Number of instances in all groups; at least 1. */
  get instances(): number {
    return Math.max(1, Object.keys(this.known.members).length);
  }

  /** Number of instances in other groups. */
  get instancesElsewhere(): number {
    const { members } = this.known;
    return Object.keys(members).length - membersOf(this.known, this.#group).length;
  }

  /** Returns the number of conflicts since the last call, for the log, and resets it. */
  takeConflicts(): number {
    return this.#budgets.takeConflicts();
  }

  /** Inputs for sizing a report, as far as the group's page does not contain them. */
  outlook(limits: PrepaidLimits): Map<AccountId, PrepaidOutlook> {
    return prepaidOutlook(this.known, limits, this.#group);
  }

  /** Tokens of an account that no group holds, according to the last read. */
  ungranted(account: AccountId, limit: Tokens): Tokens {
    return ungrantedPrepaid(this.known, account, limit);
  }

  /** Upper bound of the tokens left of an account, from this copy and the group's page. */
  left(account: AccountId, limit: Tokens, page: PrepaidPage | undefined): Tokens {
    const entry = entryOf(page?.accounts, account);
    const here = entry ? entry.spent + entry.inDoubt : 0;
    const before = entryOf(entryOf(this.known.grants, account), this.#group)?.gone ?? 0;
    return Math.max(
      0,
      maxRemainingPrepaid(this.known, account, limit) - Math.max(0, here - before),
    );
  }

  forget(): void {
    this.#budgets.forget();
  }

  /** Joins a group if this instance has none. Reads the shared object if it is unknown or old. */
  async join(options: CallOptions): Promise<Result<Unit, StoreError>> {
    const { settings, random, log } = this.#context;
    const stale = this.#budgets.value !== undefined;
    if (!stale || this.#budgets.ageMs(this.#now()) > BUDGETS_MAX_AGE_MS) {
      const read = await this.#budgets.read(this.#now(), { ...options, stale });
      if (read.isErr) return Result.err(read.error);
    }
    this.#unreadable.note(this.known.unreadable);
    while (entryOf(this.known.members, settings.instance) === undefined) {
      const next = joinGroup(this.known, settings.instance, MAX_GROUP_SIZE);
      const written = await this.#budgets.update(next, this.#now());
      if (written.isErr) return Result.err(written.error);
      if (written.value === 'written') break;
      // the random pause keeps instances that start together from conflicting again. The copy is read
      // after the pause, because a write by another instance during the pause would make it outdated.
      await delay(random() * JOIN_JITTER_MS);
      const read = await this.#budgets.read(this.#now(), options);
      if (read.isErr) return Result.err(read.error);
    }
    const group = entryOf(this.known.members, settings.instance) ?? '';
    if (group !== this.#group) log.write('prepaid-group-joined', { group });
    this.#group = group;
    return Result.ok();
  }

  /** Requests grants for what a report asks for and the page lacks, of accounts that may have tokens left. */
  async ask(
    page: PrepaidPage,
    report: PrepaidReport,
    limits: PrepaidLimits,
  ): Promise<Result<ChangeOutcome, StoreError>> {
    const shortfalls = prepaidShortfalls(page, report);
    let wanted = new Map<AccountId, Tokens>();
    const asked = await this.#budgets.change((known) => {
      wanted = wantedGrants(known, this.#group, page, shortfalls, limits);
      return wanted.size === 0
        ? known
        : grantPrepaid(known, this.#group, page, wanted, limits, applyReport(page, report));
    }, this.#now());
    if (asked.isOk && asked.value === 'written') {
      this.#context.log.write('prepaid-granted', {
        group: this.#group,
        version: this.#budgets.version,
        accounts: [...wanted.keys()].join(' '),
        lacked: sum([...wanted.values()]),
      });
    }
    return asked;
  }

  /** Records the returns of a page. If this fails, the page still contains them for the next attempt. */
  async takeReturns(
    group: string,
    page: PrepaidPage,
    limits: PrepaidLimits,
  ): Promise<Result<ChangeOutcome, StoreError>> {
    const taken = await this.#budgets.change((known) => {
      return hasReturns(page, known, group)
        ? grantPrepaid(known, group, page, new Map(), limits)
        : known;
    }, this.#now());
    if (taken.isOk && taken.value === 'written') {
      const returned = Object.values(page.accounts).map((account) => account.returned);
      const { version } = this.#budgets;
      this.#context.log.write('prepaid-returned', { group, version, returnedAll: sum(returned) });
    }
    return taken;
  }

  /** Removes instances from their groups. */
  async leave(instances: readonly string[]): Promise<Result<ChangeOutcome, StoreError>> {
    return this.#budgets.change((known) => leaveGroup(known, instances), this.#now());
  }

  #now(): number {
    return this.#context.clock.now();
  }
}
