/** HTTP client of the load generator's callers. */

import type { IncomingMessage } from 'node:http';
import type { AttemptOutcome, PlannedRequest } from '../../types/load.js';
import { Agent, request as httpRequest } from 'node:http';
import { z } from 'zod';

/** An HTTP request to a router. */
export interface OutgoingCall {
  method: 'GET' | 'POST';
  url: string;
  headers: Record<string, string>;
  body?: string;
  signal: AbortSignal;
}

const MAX_SOCKETS_PER_ROUTER = 512;
const MS_PER_SECOND = 1_000;
const REQUEST_ID_HEADER = 'flamingocourse-request-id';

const agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_ROUTER });

const problemSchema = z.object({
  reason: z.string(),
  run: z.enum(['not-run', 'ran', 'unknown']).default('unknown'),
  retryAfterMs: z.number().optional(),
});

/** The call certainly did not reach a router. */
class NotSentError extends Error {}

/**
 * Sends a call; resolves when the response headers arrive. Rejects if the connection fails, with
 * {@link NotSentError} if the call certainly did not reach a router.
 */
export function sendCall(call: OutgoingCall): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const { method, headers, signal } = call;
    const req = httpRequest(call.url, { method, headers, signal, agent }, resolve);
    req.on('error', (err: NodeJS.ErrnoException) => {
      // a call on a keep-alive connection that the router closed while idle fails with ECONNRESET.
      const idleReset = req.reusedSocket && err.code === 'ECONNRESET';
      const notSent = idleReset || err.code === 'ECONNREFUSED';
      reject(notSent ? new NotSentError(err.message, { cause: err }) : err);
    });
    req.end(call.body);
  });
}

/** Converts the error of a failed call: it reached no router, or its connection broke. */
export function toFailureEnd(err: unknown): AttemptOutcome {
  if (err instanceof NotSentError) return { type: 'unreachable' };
  return { type: 'broken', verdict: 'whole' };
}

/** Reads a whole body as text; rejects if the connection breaks before its end. */
export async function readText(res: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of res as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
}

/** Headers of a call: API key, work class, and idempotency key or ticket. */
export function callerHeaders(
  request: PlannedRequest,
  ticket: string | undefined,
): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${request.account.apiKey}`,
    'flamingocourse-class': request.item.workClass,
    'content-type': 'application/json',
  };
  if (request.item.naming === 'key') headers['idempotency-key'] = request.key;
  if (ticket !== undefined) headers['flamingocourse-ticket'] = ticket;
  return headers;
}

/** Parses the body of a refusal; if it is not a problem body, the reason is the status code. */
export function parseRefusal(text: string, res?: IncomingMessage): AttemptOutcome {
  const problem = problemSchema.safeParse(parseJson(text)).data;
  const header = Number(res?.headers['retry-after'] ?? Number.NaN) * MS_PER_SECOND;
  const retryAfterMs = problem?.retryAfterMs ?? (Number.isNaN(header) ? undefined : header);
  return {
    type: 'refused',
    reason: problem?.reason ?? `status-${res?.statusCode ?? 0}`,
    run: problem?.run ?? 'unknown',
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

/** Reads the request id from the response headers, as a partial {@link AttemptOutcome}. */
export function requestIdOf(res: IncomingMessage): { requestId?: string } {
  const requestId = res.headers[REQUEST_ID_HEADER];
  return typeof requestId === 'string' ? { requestId } : {};
}

/** Parses JSON; returns `undefined` if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
