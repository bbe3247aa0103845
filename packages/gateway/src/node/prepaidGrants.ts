/** The object that all groups share, as one instance uses it: its group, and what that was granted. */

import type {
  AccountId,
  PrepaidBudgets,
  PrepaidLimits,
  PrepaidOutlook,
  PrepaidPage,
  Tokens,
} from '@flamingocourse/core';
import type { CallOptions, Collection, PlatformError as StoreError } from '@flamingocourse/store';
import type { Unit } from 'true-myth';
import type { GatewayContext } from '../types/context.js';
import type { ChangeEnd } from './storedObject.js';
import { setTimeout as delay } from 'node:timers/promises';
import {
  createPrepaidBudgets,
  grantPrepaid,
  hasReturns,
  joinGroup,
  leaveGroup,
  leftPrepaid,
  prepaidOutlook,
  sum,
  ungrantedPrepaid,
  wantedGrants,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { prepaidBudgetsSchema } from '../utils/prepaidSchemas.js';
import { StoredObject } from './storedObject.js';

const budgetCollection: Collection<PrepaidBudgets> = {
  name: 'prepaid-budgets',
  schema: prepaidBudgetsSchema,
};
const BUDGETS_NAME = 'all';

/**
 * Most instances of a group. Conflicts grow faster than the group: with its reports, and with the length
 * of its page, which a link of 7 Mbit/s carries in a millisecond for each instance.
 */
const GROUP_SIZE = 10;
/** Milliseconds after which the shared object is read again: new members share the fleet's retries. */
const BUDGETS_FRESH_MS = 4_000;
/**
 * Milliseconds over which instances that start together spread their joining. A join takes some ten
 * milliseconds, so two of 73 that start at once get in each other's way now and then.
 */
const JOIN_SPREAD_MS = 400;

/**
 * Membership and grants of this instance's group.
 *
 * @example
 * const joined = await grants.join();
 * if (joined.isOk) await grants.ask(page, lacking, limits);
 */
export class PrepaidGrants {
  readonly #context: GatewayContext;
  readonly #budgets: StoredObject<PrepaidBudgets>;
  #group = '';

  constructor(context: GatewayContext) {
    this.#context = context;
    const { store } = context;
    this.#budgets = new StoredObject(store, budgetCollection, BUDGETS_NAME, createPrepaidBudgets);
  }

  /** Empty before this instance has joined one. */
  get group(): string {
    return this.#group;
  }

  /** What all share, as last seen. */
  get known(): PrepaidBudgets {
    return this.#budgets.value ?? createPrepaidBudgets();
  }

  /** Instances of all groups; at least this one. */
  get instances(): number {
    return Math.max(1, Object.keys(this.known.members).length);
  }

  /** Groups that have members; at least the own one. */
  get groups(): number {
    return Math.max(1, new Set(Object.values(this.known.members)).size);
  }

  /** Conflicts since this was last asked, for the log. */
  takeConflicts(): number {
    return this.#budgets.takeConflicts();
  }

  /** What a report is sized by beyond the page. */
  outlook(limits: PrepaidLimits): Map<AccountId, PrepaidOutlook> {
    return prepaidOutlook(this.known, limits);
  }

  /** Tokens of an account that no group holds, as last seen. */
  ungranted(account: AccountId, limit: Tokens): Tokens {
    return ungrantedPrepaid(this.known, account, limit);
  }

  /** The most of an account that can be left anywhere, by this copy and the group's page. */
  left(account: AccountId, limit: Tokens, page: PrepaidPage | undefined): Tokens {
    const entry = page?.accounts[account];
    const here = entry ? entry.spent + entry.inDoubt : 0;
    const before = this.known.grants[account]?.[this.#group]?.gone ?? 0;
    return Math.max(0, leftPrepaid(this.known, account, limit) - Math.max(0, here - before));
  }

  forget(): void {
    this.#budgets.forget();
  }

  /** Joins a group if this instance has none; reads anew what is not known or old. */
  async join(options: CallOptions): Promise<Result<Unit, StoreError>> {
    const { settings, random, log } = this.#context;
    const stale = this.#budgets.value !== undefined;
    if (!stale || this.#budgets.ageMs(this.#now()) > BUDGETS_FRESH_MS) {
      const read = await this.#budgets.read(this.#now(), { ...options, stale });
      if (read.isErr) return Result.err(read.error);
    }
    while (this.known.members[settings.instance] === undefined) {
      const next = joinGroup(this.known, settings.instance, GROUP_SIZE);
      const written = await this.#budgets.update(next, this.#now());
      if (written.isErr) return Result.err(written.error);
      if (written.value === 'written') break;
      // instances that start together would conflict with each other again; and the copy has to be
      // read after the pause, because another's write during it would make it outdated each time.
      await delay(random() * JOIN_SPREAD_MS);
      const read = await this.#budgets.read(this.#now(), options);
      if (read.isErr) return Result.err(read.error);
    }
    const group = this.known.members[settings.instance] ?? '';
    if (group !== this.#group) log.write('prepaid-group-joined', { group });
    this.#group = group;
    return Result.ok();
  }

  /** Asks for what a group lacks, where anything may be left to grant. */
  async ask(
    page: PrepaidPage,
    lacking: ReadonlyMap<AccountId, Tokens>,
    limits: PrepaidLimits,
  ): Promise<Result<ChangeEnd, StoreError>> {
    let wanted = new Map<AccountId, Tokens>();
    const asked = await this.#budgets.change((known) => {
      wanted = wantedGrants(known, this.#group, page, lacking, limits);
      return wanted.size === 0 ? known : grantPrepaid(known, this.#group, page, wanted, limits);
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

  /** Has what a page gives back taken in; where that fails, the page still says it at the next turn. */
  async takeReturns(
    group: string,
    page: PrepaidPage,
    limits: PrepaidLimits,
  ): Promise<Result<ChangeEnd, StoreError>> {
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

  /** Takes instances out of their groups. */
  async leave(instances: readonly string[]): Promise<Result<ChangeEnd, StoreError>> {
    return this.#budgets.change((known) => leaveGroup(known, instances), this.#now());
  }

  #now(): number {
    return this.#context.clock.now();
  }
}
