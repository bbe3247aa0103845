/** News over the mesh. */

import type { FleetInstance, NewsMessage } from '@flamingocourse/core';
import type { MeshClient } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { NewsCalls } from '../types/newsCalls.js';

/** Milliseconds for a call: some for the way, and a tenth of a second in which a machine may stand still. */
const CALL_MS = 300;

/** Tells instances at the address of their mesh listener. */
export class MeshNewsCalls extends NewsCalls {
  readonly #mesh: MeshClient;

  constructor(mesh: MeshClient) {
    super();
    this.#mesh = mesh;
  }

  override async exchange(
    { meshUrl }: FleetInstance,
    message: NewsMessage,
  ): Promise<Result<NewsMessage, string>> {
    if (meshUrl === undefined) return Result.err('it serves no peers');
    const options = { timeoutMs: CALL_MS };
    const answer = await this.#mesh.call({ meshUrl }, 'exchangeNews', message, options);
    return answer.mapErr(({ message: reason }) => reason);
  }
}
