/**
 * Prepaid budgets whose rights are dealt to instances: one stored page, changed only by conditional
 * update, that says what was spent and which instance may still spend how much.
 */

import type { AccountId, IncarnationId, Tokens } from './ids.js';

/** What one instance holds of an account. */
export interface PrepaidShare {
  /** Tokens that the instance may still spend. */
  held: Tokens;
  /** Tokens a second that it was last asked for. */
  rate: number;
}

/** One account. Invariant: spent + inDoubt + sum of held <= limit. */
export interface PrepaidAccount {
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

/** Value of one stored page. */
export interface PrepaidPage {
  accounts: Record<AccountId, PrepaidAccount>;
  /** By instance name. */
  writers: Record<string, PrepaidWriter>;
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
  entries: Record<AccountId, PrepaidReportEntry>;
}
