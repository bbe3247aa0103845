/** Asks a backend server for its load and whether it is leaving. */

import { Agent } from 'node:http';
import { BodyBuffers, exchange, parseJsonText } from '@flamingocourse/kernel';
import { z } from 'zod';

const PROBE_TIMEOUT_MS = 1_000;
const MAX_ANSWER_BYTES = 4_096;

const loadSchema = z.object({ running: z.number(), waiting: z.number(), asOf: z.number() });

/** Result of a probe. */
export type ProbedLoad =
  | { type: 'load'; report: { running: number; waiting: number; at: number } }
  | { type: 'leaving' }
  | { type: 'unknown' };

const agent = new Agent({ keepAlive: true, maxSockets: 4 });
const buffers = new BodyBuffers(undefined, MAX_ANSWER_BYTES);

/**
 * Reads `GET /health` and `GET /load`. Never rejects; the result is `unknown` if the server does
 * not return a valid load.
 *
 * @example
 * const probed = await probeLoad('http://10.0.0.7:9000');
 */
export async function probeLoad(url: string): Promise<ProbedLoad> {
  const [health, load] = await Promise.all([read(`${url}/health`), read(`${url}/load`)]);
  return health.includes('"leaving"') ? { type: 'leaving' } : parseLoad(load);
}

/** Returns the body of a GET, or an empty string if the request fails or times out. */
async function read(url: string): Promise<string> {
  const answer = await exchange({
    method: 'GET',
    url: new URL(url),
    timeoutMs: PROBE_TIMEOUT_MS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
    agent,
    buffers,
  });
  return answer.map(({ body }) => body).unwrapOr('');
}

function parseLoad(text: string): ProbedLoad {
  try {
    const { running, waiting, asOf } = loadSchema.parse(parseJsonText(text));
    return { type: 'load', report: { running, waiting, at: asOf } };
  } catch {
    return { type: 'unknown' };
  }
}
