/** One attempt of a call to a plain service. */

import type { IncomingMessage } from 'node:http';
import { Agent, request as httpRequest } from 'node:http';
import { connect } from 'node:net';
import { describeError, hasLostPeer, runInBackground, staysOpen } from '@flamingocourse/kernel';

/** Largest answer of a plain service that is forwarded, in bytes. */
const MAX_ANSWER_BYTES = 4 * 1_048_576;
/** Milliseconds in which a server must accept a connection to count as running. */
const CONNECT_MS = 250;

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

/** Why an answer whose end is not proven does not count. */
const INCOMPLETE = 'the connection broke before the answer was complete';
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
      readAnswer(res, attempt.url, settle);
    });
    req.end(attempt.body);
  });
}

function readAnswer(res: IncomingMessage, url: string, settle: (end: PlainOutcome) => void): void {
  const isProvenWhole = watchEnd(res, url);
  const parts: Buffer[] = [];
  let size = 0;
  res.on('data', (part: Buffer) => {
    size += part.length;
    if (size > MAX_ANSWER_BYTES) settle({ type: 'too-large' });
    else parts.push(part);
  });
  res.on('close', () => {
    runInBackground(
      async () => {
        if (await isProvenWhole()) settle(outcomeOf(res, Buffer.concat(parts)));
        else settle({ type: 'crashed', detail: INCOMPLETE });
      },
      (err) => {
        settle({ type: 'crashed', detail: describeError(err) });
      },
    );
  });
}

function outcomeOf(res: IncomingMessage, body: Buffer): PlainOutcome {
  if (res.statusCode === 503 && body.includes('"leaving"')) return { type: 'leaving' };
  return {
    type: 'done',
    status: res.statusCode ?? 502,
    contentType: res.headers['content-type'] ?? 'application/octet-stream',
    body,
  };
}

/**
 * Returns a function that tells, after the end of an answer, whether it is whole. One with neither a length
 * nor chunks ends with its connection, as the connections of a killed process do. So it is whole only if
 * the connection was not reset and the server still runs.
 */
function watchEnd(res: IncomingMessage, url: string): () => Promise<boolean> {
  const { 'content-length': length, 'transfer-encoding': encoding } = res.headers;
  if (length !== undefined || encoding !== undefined) return () => Promise.resolve(res.complete);
  const { socket } = res;
  let end: 'none' | 'reset' | 'in-order' = 'none';
  socket.prependOnceListener('end', () => (end = hasLostPeer(socket) ? 'reset' : 'in-order'));
  return async () => res.complete && (end === 'none' || (end === 'in-order' && isRunning(url)));
}

/** Whether a server accepts a connection and keeps it open. */
async function isRunning(url: string): Promise<boolean> {
  const { hostname, port } = new URL(url);
  const socket = connect(Number(port), hostname).setTimeout(CONNECT_MS);
  const isConnected = await new Promise<boolean>((resolve) => {
    socket.once('connect', () => {
      resolve(true);
    });
    socket.once('timeout', () => socket.destroy());
    socket.on('error', () => undefined);
    socket.once('close', () => {
      resolve(false);
    });
  });
  const isOpen = isConnected && (await staysOpen(() => [socket.resume()]));
  socket.destroy();
  return isOpen;
}
