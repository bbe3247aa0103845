/** Asks a backend server for its load and whether it leaves. */

import { Agent } from 'node:http';
import { exchange } from '@flamingocourse/kernel';
import { z } from 'zod';

const PROBE_TIMEOUT_MS = 1_000;
const MAX_ANSWER_BYTES = 4_096;

const loadSchema = z.object({ running: z.number(), waiting: z.number(), asOf: z.number() });

/** What a server said. */
export type ProbedLoad =
  | { type: 'load'; report: { running: number; waiting: number; at: number } }
  | { type: 'leaving' }
  | { type: 'unknown' };

const agent = new Agent({ keepAlive: true, maxSockets: 4 });

/**
 * Reads `GET /health` and `GET /load`. Never throws; a server that does not answer is `unknown`.
 *
 * @example
 * const probed = await probeLoad('http://10.0.0.7:9000');
 */
export async function probeLoad(url: string): Promise<ProbedLoad> {
  const [health, load] = await Promise.all([read(`${url}/health`), read(`${url}/load`)]);
  return health.includes('"leaving"') ? { type: 'leaving' } : parseLoad(load);
}

/** Body of a GET, empty when there is none in time. */
async function read(url: string): Promise<string> {
  const answer = await exchange({
    method: 'GET',
    url: new URL(url),
    timeoutMs: PROBE_TIMEOUT_MS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
    agent,
  });
  return answer.map(({ body }) => body).unwrapOr('');
}

function parseLoad(text: string): ProbedLoad {
  try {
    const { running, waiting, asOf } = loadSchema.parse(JSON.parse(text));
    return { type: 'load', report: { running, waiting, at: asOf } };
  } catch {
    return { type: 'unknown' };
  }
}
