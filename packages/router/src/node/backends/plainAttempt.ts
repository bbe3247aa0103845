/** One attempt of a call to a plain service. */

import type { IncomingMessage } from 'node:http';
import { Agent, request as httpRequest } from 'node:http';

/** Largest answer of a plain service that is forwarded, in bytes. */
const MAX_ANSWER_BYTES = 4 * 1_048_576;

/** How a call to a plain service ended. */
export type PlainOutcome =
  | { type: 'done'; status: number; contentType: string; body: Buffer }
  | { type: 'not-sent'; detail: string }
  | { type: 'leaving' }
  | { type: 'too-large' }
  | { type: 'crashed'; detail: string }
  | { type: 'timed-out' }
  | { type: 'cancelled' };

/** Parameters of one call. */
export interface PlainAttempt {
  url: string;
  nonce: string;
  method: string;
  path: string;
  contentType: string | undefined;
  body: Buffer;
  timeoutMs: number;
  signal: AbortSignal;
}

const agent = new Agent({ keepAlive: true, maxSockets: 512, scheduling: 'lifo' });

/**
 * Runs one call until it ends. Never rejects.
 *
 * `not-sent` is returned only if no connection was made, so no byte can have reached the service.
 * After that, a failure is `crashed` or `timed-out`: the call may have run.
 *
 * @example
 * const end = await runPlainAttempt({ url, nonce, method: 'GET', path: '/items', ... });
 */
export async function runPlainAttempt(attempt: PlainAttempt): Promise<PlainOutcome> {
  if (attempt.signal.aborted) return { type: 'cancelled' };
  let connected = false;
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      settle({ type: 'timed-out' });
    }, attempt.timeoutMs);
    // Calls other than GET use a new connection each. On a reused connection, a server that closed it
    // before the call cannot be distinguished from one that failed after running the call.
    const req = httpRequest(`${attempt.url}${attempt.path}`, {
      method: attempt.method,
      agent: attempt.method === 'GET' ? agent : false,
      headers: {
        ...(attempt.contentType === undefined ? {} : { 'content-type': attempt.contentType }),
        'content-length': attempt.body.length,
        'x-request-id': attempt.nonce,
      },
    });
    const onAbort = (): void => {
      settle({ type: 'cancelled' });
    };
    const settle = (end: PlainOutcome): void => {
      clearTimeout(timer);
      attempt.signal.removeEventListener('abort', onAbort);
      if (end.type !== 'done' && end.type !== 'leaving') req.destroy();
      resolve(end);
    };
    attempt.signal.addEventListener('abort', onAbort);
    req.on('socket', (socket) => {
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    req.on('error', (err) => {
      settle(
        connected
          ? { type: 'crashed', detail: err.message }
          : { type: 'not-sent', detail: err.message },
      );
    });
    req.on('response', (res) => {
      readAnswer(res, settle);
    });
    req.end(attempt.body);
  });
}

function readAnswer(res: IncomingMessage, settle: (end: PlainOutcome) => void): void {
  const parts: Buffer[] = [];
  let size = 0;
  res.on('data', (part: Buffer) => {
    size += part.length;
    if (size > MAX_ANSWER_BYTES) settle({ type: 'too-large' });
    else parts.push(part);
  });
  res.on('close', () => {
    if (!res.complete) {
      settle({ type: 'crashed', detail: 'the connection broke before the answer was complete' });
      return;
    }
    const body = Buffer.concat(parts);
    if (res.statusCode === 503 && body.includes('"leaving"')) {
      settle({ type: 'leaving' });
      return;
    }
    settle({
      type: 'done',
      status: res.statusCode ?? 502,
      contentType: res.headers['content-type'] ?? 'application/octet-stream',
      body,
    });
  });
}
