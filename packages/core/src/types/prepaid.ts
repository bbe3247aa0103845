/**
 * Prepaid budgets whose rights are dealt to instances: stored objects, changed only by conditional
 * update, that say what was spent and who may still spend how much. Budgets are granted to groups of
 * instances, and a group's page deals them to its instances: one page for a whole fleet would be
 * fought over, and would be long to carry over a slow link.
 */

import type { AccountId, DataCentreId, IncarnationId, Tokens } from './ids.js';

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

/** What a holder sizes its holdings by, wherever its rights come from. */
export interface PrepaidView {
  /** Whether the giver of the rights knows this process already. */
  isRegistered: boolean;
  /** Instances that share what remains, this one included. */
  instances: number;
  /** Those among them that fetch tokens for single requests from what nobody holds. */
  fetchers: number;
  accounts: ReadonlyMap<AccountId, PrepaidAccountView>;
}

/** One account of a {@link PrepaidView}. */
export interface PrepaidAccountView {
  /** Tokens neither spent nor in doubt that these instances have or may still get. */
  remaining: Tokens;
  /** Tokens a second that the other instances are asked for. */
  othersRate: number;
  /** Instances that its callers come in at. @default all that share what remains */
  spread?: number | undefined;
}

/** An instance of the fleet as the others know it. */
export interface FleetInstance {
  name: string;
  dataCentre: DataCentreId;
  /** `http://host:port` at which it serves its peers; absent where it serves none. */
  meshUrl?: string | undefined;
}

/** Asks a lender for tokens and tells it what became of those that it lent before. */
export interface LoanRequest {
  /** Life of the lender by which earlier loans were made; absent before its first answer. */
  lender?: IncarnationId | undefined;
  report: PrepaidReport;
  /** Part of what the report wants that requests wait for. */
  urgent: Record<AccountId, Tokens>;
  /** Tokens that a request at the borrower asks for on average. */
  typicalRequest: Tokens;
  /** Accounts of which the borrower wants to know how much is left, beside those of the report. */
  interest: AccountId[];
}

/** What the lender knows of one account, and what it lends of it. */
export interface LoanAccount {
  /** Tokens that the borrower holds from now on. */
  held: Tokens;
  remaining: Tokens;
  othersRate: number;
  /** Instances that its callers come in at; absent at lenders that do not tell. */
  spread?: number | undefined;
  /** Tokens that could be lent beyond that. */
  available: Tokens;
  /** Tokens spent or in doubt anywhere, as far as the lender knows; it may lag behind. */
  gone: Tokens;
}

/** A lender's answer. */
export type LoanAnswer =
  | {
      type: 'lent';
      lender: IncarnationId;
      /** Instances that share what remains. */
      instances: number;
      /** Those among them that fetch tokens from the store. */
      fetchers: number;
      /** Whether the lender stops: its loans should go back, and others be asked. */
      isStopping: boolean;
      accounts: Record<AccountId, LoanAccount>;
    }
  /** The lender does not know these loans. They are charged, so they may be spent, but not told of again. */
  | { type: 'forgotten'; lender: IncarnationId };
