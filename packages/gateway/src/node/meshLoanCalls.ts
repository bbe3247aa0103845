/** Calls the other instances that share prepaid budgets over the mesh. */

import type {
  FleetInstance,
  ForwardedReport,
  LoanAnswer,
  LoanRequest,
  PrepaidReportOutcome,
} from '@flamingocourse/core';
import type { MeshClient } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { LoanCalls } from '../types/loans.js';

/**
 * Timeout of a call in milliseconds. A lender answers in 1 to 2 ms, or in tens of milliseconds if it has to ask
 * the store. A machine that has used up its CPU quota can pause for up to 100 ms.
 */
const CALL_TIMEOUT_MS = 230;

/**
 * Timeout in milliseconds for a report that another instance writes. It finishes an exchange of its own first, and
 * may meet conflicts itself.
 */
const WRITE_TIMEOUT_MS = 500;

/** Calls instances at the address of their mesh listener. */
export class MeshLoanCalls extends LoanCalls {
  readonly #mesh: MeshClient;

  constructor(mesh: MeshClient) {
    super();
    this.#mesh = mesh;
  }

  override async ask(
    { meshUrl }: FleetInstance,
    request: LoanRequest,
  ): Promise<Result<LoanAnswer, string>> {
    if (meshUrl === undefined) return Result.err('it serves no peers');
    const answer = await this.#mesh.call({ meshUrl }, 'borrow', request, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return answer.mapErr(({ message }) => message);
  }

  override async write(
    { meshUrl }: FleetInstance,
    forwarded: ForwardedReport,
  ): Promise<Result<PrepaidReportOutcome, string>> {
    if (meshUrl === undefined) return Result.err('it serves no peers');
    const outcome = await this.#mesh.call({ meshUrl }, 'writeReport', forwarded, {
      timeoutMs: WRITE_TIMEOUT_MS,
    });
    return outcome.mapErr(({ message }) => message);
  }
}
