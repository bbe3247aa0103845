/**
 * Prepaid budgets whose rights are dealt to instances: stored objects, changed only by conditional
 * update, that say what was spent and who may still spend how much. Budgets are granted to groups of
 * instances, and a group's page deals them to its instances: one page for a whole fleet would be
 * fought over, and would be long to carry over a slow link.
 */

import type { AccountId, IncarnationId, Tokens } from './ids.js';

/** What one instance holds of an account. */
export interface PrepaidShare {
  /** Tokens that the instance may still spend. */
  held: Tokens;
  /** Tokens a second that it was last asked for. */
  rate: number;
}

/** One account. Invariant: spent + inDoubt + sum of held <= granted - returned. */
export interface PrepaidAccount {
  /** All that the group was ever granted, as far as the page knows. */
  granted: Tokens;
  /** All of it that the group ever gave back. */
  returned: Tokens;
  /** Reported spend of all instances, ended ones included. */
  spent: Tokens;
  /** Held by processes that ended without a last report: charged, but without bills. */
  inDoubt: Tokens;
  shares: Record<string, PrepaidShare>;
}

/** The last report that was taken in from an instance. */
export interface PrepaidWriter {
  incarnation: IncarnationId;
  seq: number;
}

/** Value of one stored page: the budgets of a group of instances. */
export interface PrepaidPage {
  accounts: Record<AccountId, PrepaidAccount>;
  /** By instance name. */
  writers: Record<string, PrepaidWriter>;
}

/** What a group was granted of one account. All three only grow. */
export interface PrepaidGrant {
  granted: Tokens;
  /** Given back, as far as it was taken in. */
  returned: Tokens;
  /** Spent or in doubt at the group, as of its last exchange; may lag behind. */
  gone: Tokens;
}

/**
 * Value of the one object that all groups share: who belongs to which group, and what each was granted.
 * Invariant for each account: the sum of granted - returned never passes the account's limit.
 */
export interface PrepaidBudgets {
  /** Group of each instance, by instance name. */
  members: Record<string, string>;
  /** By account, then by group. */
  grants: Record<AccountId, Record<string, PrepaidGrant>>;
}

/** What one group needs to know of an account beyond its own page. */
export interface PrepaidOutlook {
  /** The group's even part of the account's limit. */
  limitPart: Tokens;
  /** Its even part of what no group holds. */
  beyond: Tokens;
  /** Groups that share the account. */
  groups: number;
}

/** What an instance says of one account. */
export interface PrepaidReportEntry {
  /** Spent since the last report. */
  spent: Tokens;
  /** What the instance still holds, with all that it wants to give back taken off. */
  keeps: Tokens;
  /** What it would like to hold beyond that. */
  wants: Tokens;
  /** Tokens a second that it is asked for. */
  rate: number;
}

/** A report of one instance; its number makes it idempotent. */
export interface PrepaidReport {
  instance: string;
  incarnation: IncarnationId;
  seq: number;
  /** Whether the instance leaves: the page forgets it with this report. */
  last: boolean;
  entries: Record<AccountId, PrepaidReportEntry>;
}
