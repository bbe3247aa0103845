/** Interface for the calls between instances that share prepaid budgets. */

import type {
  FleetInstance,
  ForwardedReport,
  LoanAnswer,
  LoanRequest,
  PrepaidReportOutcome,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Calls other instances. No call rejects, and each returns within a bounded time. */
export abstract class LoanCalls {
  /**
   * Asks a lender for tokens. The error says why there is no answer; the lender may still have received the
   * request.
   */
  abstract ask(lender: FleetInstance, request: LoanRequest): Promise<Result<LoanAnswer, string>>;

  /** Asks an instance of the same group to write a report. After an error it may still be written. */
  abstract write(
    writer: FleetInstance,
    forwarded: ForwardedReport,
  ): Promise<Result<PrepaidReportOutcome, string>>;
}
