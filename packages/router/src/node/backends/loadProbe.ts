/** Asks a backend server for its load. */

import { Agent, get } from 'node:http';
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
 * Reads `GET /load`. Never throws; a server that does not answer is `unknown`.
 *
 * @example
 * const probed = await probeLoad('http://10.0.0.7:9000');
 */
export function probeLoad(url: string): Promise<ProbedLoad> {
  return new Promise((resolve) => {
    const req = get(`${url}/load`, { agent, timeout: PROBE_TIMEOUT_MS }, (res) => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', (part: string) => {
        if (text.length < MAX_ANSWER_BYTES) text += part;
      });
      res.on('close', () => {
        resolve(parseLoad(text));
      });
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => {
      resolve({ type: 'unknown' });
    });
  });
}

function parseLoad(text: string): ProbedLoad {
  if (text.includes('"leaving"')) return { type: 'leaving' };
  try {
    const { running, waiting, asOf } = loadSchema.parse(JSON.parse(text));
    return { type: 'load', report: { running, waiting, at: asOf } };
  } catch {
    return { type: 'unknown' };
  }
}
