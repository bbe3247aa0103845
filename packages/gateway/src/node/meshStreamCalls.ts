/** Tells and asks other instances over the mesh what began a stream. */

import type {
  FleetInstance,
  ServiceName,
  StreamAnswer,
  StreamKey,
  StreamRecord,
} from '@flamingocourse/core';
import type { MeshClient } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { StreamCalls } from '../types/streamCalls.js';

/** Timeout of a record in milliseconds. It covers a CPU pause of 100 ms on a machine. */
const KEEP_TIMEOUT_MS = 300;
/** Timeout of a question in milliseconds; a caller waits for the answer. */
const FIND_TIMEOUT_MS = 200;

/** Calls the mesh listeners of instances. */
export class MeshStreamCalls extends StreamCalls {
  readonly #mesh: MeshClient;

  constructor(mesh: MeshClient) {
    super();
    this.#mesh = mesh;
  }

  override async keep(
    { meshUrl }: FleetInstance,
    streams: StreamRecord[],
  ): Promise<Result<'kept', string>> {
    if (meshUrl === undefined) return Result.err('it serves no peers');
    const options = { timeoutMs: KEEP_TIMEOUT_MS };
    const kept = await this.#mesh.call({ meshUrl }, 'keepStreams', { streams }, options);
    return kept.mapErr(({ message }) => message);
  }

  override async find(
    { meshUrl }: FleetInstance,
    key: StreamKey,
    services: ServiceName[],
  ): Promise<Result<StreamAnswer, string>> {
    if (meshUrl === undefined) return Result.err('it serves no peers');
    const options = { timeoutMs: FIND_TIMEOUT_MS };
    const found = await this.#mesh.call({ meshUrl }, 'findStream', { key, services }, options);
    return found.mapErr(({ message }) => message);
  }
}
