/**
 * Prepaid budgets whose tokens are allocated to instances. They are stored objects, changed only by
 * conditional update, that record what was spent and how much each instance may still spend.
 * Budgets are granted to groups of instances, and the page of a group allocates its grant to its
 * instances. A single page for the whole fleet would cause many update conflicts and be slow to
 * transfer over a slow link.
 */

import type { AccountId, DataCentreId, IncarnationId, Tokens } from './ids.js';

/** Tokens of an account that one instance holds. */
export interface PrepaidShare {
  /** Tokens that the instance may still spend. */
  held: Tokens;
  /** Demand at the instance in tokens per second, as it last reported it. */
  rate: number;
}

/** One account of a group. Invariant: spent + inDoubt + sum of held <= granted - returned. */
export interface PrepaidAccount {
  /** Total of all grants to the group that the page has applied. */
  granted: Tokens;
  /** Total that the group has returned. */
  returned: Tokens;
  /** Reported spend of all instances, including ended ones. */
  spent: Tokens;
  /** Tokens held by processes that ended without a last report. They are charged without a bill. */
  inDoubt: Tokens;
  shares: Record<string, PrepaidShare>;
}

/** The last report of an instance that was applied. */
export interface PrepaidWriter {
  incarnation: IncarnationId;
  seq: number;
}

/** Value of one stored page: the budgets of a group of instances. */
export interface PrepaidPage {
  accounts: Record<AccountId, PrepaidAccount>;
  /** By instance name. */
  writers: Record<string, PrepaidWriter>;
  /** Accounts whose stored entries cannot be read, as they are stored; nothing is granted from them. */
  unreadable?: Record<AccountId, unknown>;
}

/** Grant of one account to one group. All three totals only increase. */
export interface PrepaidGrant {
  granted: Tokens;
  /** Total returned by the group, as of the last return that was applied here. */
  returned: Tokens;
  /** Spent or in doubt at the group as of its last exchange, so it may be out of date. */
  gone: Tokens;
  /** Demand at the group in tokens per second as of its last exchange; absent if it wrote none. */
  rate?: number | undefined;
}

/**
 * Value of the single object that all groups share: which instance belongs to which group, and what
 * each group was granted. Invariant for each account: the sum of granted - returned never exceeds
 * the account's limit.
 */
export interface PrepaidBudgets {
  /** Group of each instance, by instance name. */
  members: Record<string, string>;
  /** By account, then by group. */
  grants: Record<AccountId, Record<string, PrepaidGrant>>;
  /** Accounts whose stored grants cannot be read, as they are stored; nothing more is granted of them. */
  unreadable?: Record<AccountId, unknown>;
}

/** Data on an account that a group needs and its own page does not contain. */
export interface PrepaidOutlook {
  /** The account's limit divided by the number of groups. */
  limitPart: Tokens;
  /** Tokens that no group holds, divided by the number of groups. */
  beyond: Tokens;
  /** Tokens that no group holds, and those of other groups that are neither spent nor in doubt as far as known. */
  elsewhere: Tokens;
  /** Demand at other groups in tokens per second, as of their last exchanges. */
  othersRate: number;
  /** Number of groups that share the account. */
  groups: number;
}

/** Part of a report on one account. */
export interface PrepaidReportEntry {
  /** Tokens spent since the last report. */
  spent: Tokens;
  /** Tokens that the instance still holds, excluding those that it returns with this report. */
  keeps: Tokens;
  /** Tokens that it requests in addition to `keeps`. */
  wants: Tokens;
  /** Demand in tokens per second. */
  rate: number;
}

/** A report of one instance. The sequence number makes it idempotent. */
export interface PrepaidReport {
  instance: string;
  incarnation: IncarnationId;
  seq: number;
  /** Whether the instance shuts down: the page removes it after applying this report. */
  last: boolean;
  entries: Record<AccountId, PrepaidReportEntry>;
}

/**
 * Outcome of writing a report. `taken`: the page contains it. `busy`: all attempts conflicted with other
 * writers, so it has to be sent again. `fenced`: the page no longer knows the process and refuses it.
 */
export type PrepaidReportOutcome = 'taken' | 'busy' | 'fenced';

/** A report that another instance of the group writes for the reporting one. */
export interface ForwardedReport {
  group: string;
  report: PrepaidReport;
  /**
   * Incarnation that the page listed for the instance before its process's first report; absent if it
   * listed none. A first report that arrives late would otherwise replace a newer process.
   */
  replaces?: IncarnationId | undefined;
}

/** Input from which a holder decides how many tokens to hold, independent of their source. */
export interface PrepaidView {
  /** Whether the source of the tokens has applied a report of this process. */
  isRegistered: boolean;
  /** Number of instances that share the remaining tokens, including this one. */
  instances: number;
  /** Number of those that fetch unallocated tokens from the store for single requests. */
  fetchers: number;
  accounts: ReadonlyMap<AccountId, PrepaidAccountView>;
}

/** One account of a {@link PrepaidView}. */
export interface PrepaidAccountView {
  /** Tokens that these instances hold or may still get: neither spent nor in doubt. */
  remaining: Tokens;
  /** Demand at the other instances in tokens per second. */
  othersRate: number;
  /** Number of instances that its callers use. @default all that share the remaining tokens */
  spread?: number | undefined;
}

/** An instance of the fleet as known to the other instances. */
export interface FleetInstance {
  name: string;
  dataCentre: DataCentreId;
  /** `http://host:port` at which it serves its peers; absent if it serves none. */
  meshUrl?: string | undefined;
}

/** Requests tokens from a lender and reports how many of the tokens lent earlier were spent. */
export interface LoanRequest {
  /** Incarnation of the lender that made the earlier loans; absent before its first answer. */
  lender?: IncarnationId | undefined;
  report: PrepaidReport;
  /** Tokens that requests wait for, as part of the `wants` of the report. */
  urgent: Record<AccountId, Tokens>;
  /** Average size of a request at the borrower, in tokens. */
  typicalRequest: Tokens;
  /** Accounts whose remaining tokens the borrower asks for, in addition to those of the report. */
  interest: AccountId[];
}

/** What the lender knows of one account, and how much it lends of it. */
export interface LoanAccount {
  /** Tokens that the borrower holds from now on, including earlier loans that it keeps. */
  held: Tokens;
  remaining: Tokens;
  othersRate: number;
  /** Number of instances that its callers use; absent from lenders that do not report it. */
  spread?: number | undefined;
  /** Tokens that could be lent in addition to `held`. */
  available: Tokens;
  /**
   * Tokens spent or in doubt in the whole fleet, as far as the lender knows; may be out of date.
   */
  gone: Tokens;
}

/** A lender's answer. */
export type LoanAnswer =
  | {
      type: 'lent';
      lender: IncarnationId;
      /** Number of instances that share the remaining tokens. */
      instances: number;
      /** Number of those that fetch tokens from the store. */
      fetchers: number;
      /** Whether the lender is shutting down: return its loans and borrow from another lender. */
      isStopping: boolean;
      accounts: Record<AccountId, LoanAccount>;
    }
  /** The lender does not know these loans. They are charged: they may be spent but not reported. */
  | { type: 'forgotten'; lender: IncarnationId };
