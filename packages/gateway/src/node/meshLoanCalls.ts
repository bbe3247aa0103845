/** Loan requests over the mesh. */

import type { FleetInstance, LoanAnswer, LoanRequest } from '@flamingocourse/core';
import type { MeshClient } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { LoanCalls } from '../types/loans.js';

/**
 * Milliseconds for a call. A lender answers in one or two, and in some tens when it has to ask the store;
 * a machine that has used up its processor time stands still for up to a hundred.
 */
const CALL_MS = 230;

/** Asks lenders at the address of their mesh listener. */
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
    const answer = await this.#mesh.call({ meshUrl }, 'borrow', request, { timeoutMs: CALL_MS });
    return answer.mapErr(({ message }) => message);
  }
}
