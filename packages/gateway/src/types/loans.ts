/** How an instance asks another one for tokens. */

import type { FleetInstance, LoanAnswer, LoanRequest } from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Carries loan requests to lenders. */
export abstract class LoanCalls {
  /** Never rejects; takes a bounded time. The error says why there is no answer; the request may have arrived. */
  abstract ask(lender: FleetInstance, request: LoanRequest): Promise<Result<LoanAnswer, string>>;
}
