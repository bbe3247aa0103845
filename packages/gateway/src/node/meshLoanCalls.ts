/** Sends loan requests over the mesh. */

import type { FleetInstance, LoanAnswer, LoanRequest } from '@flamingocourse/core';
import type { MeshClient } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { LoanCalls } from '../types/loans.js';

/**
 * Timeout of a call in milliseconds. A lender answers in 1 to 2 ms, or in tens of milliseconds if it has to ask
 * the store. A machine that has used up its CPU quota can pause for up to 100 ms.
 */
const CALL_TIMEOUT_MS = 230;

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
    const answer = await this.#mesh.call({ meshUrl }, 'borrow', request, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return answer.mapErr(({ message }) => message);
  }
}
