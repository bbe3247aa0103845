/** Interface for sending loan requests to other instances. */

import type { FleetInstance, LoanAnswer, LoanRequest } from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Sends loan requests to lenders. */
export abstract class LoanCalls {
  /**
   * Never rejects and returns within a bounded time. The error says why there is no answer; the lender may
   * still have received the request.
   */
  abstract ask(lender: FleetInstance, request: LoanRequest): Promise<Result<LoanAnswer, string>>;
}
