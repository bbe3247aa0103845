/** Forwards a retry to the router that issued its ticket. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { request as httpRequest } from 'node:http';
import { setEntry } from '@flamingocourse/core';
import { isFinalStatus } from '@flamingocourse/kernel';
import { FORWARDED_HEADER } from './callerRequest.js';

const CONFIRM_TIMEOUT_MS = 30_000;
const DROPPED_HEADERS = new Set(['host', 'connection', 'content-length', 'idempotency-key']);

/**
 * Sends a request to the issuer and pipes the answer back to the caller. Resolves to false, with
 * nothing written to the caller, if the issuer cannot be reached or its answer cannot be passed on.
 *
 * @example
 * if (!(await forwardRequest(entryUrl, ticket, req, body, res))) refuse('outcome-unknown');
 */
export function forwardRequest(
  entryUrl: string,
  ticket: string,
  req: IncomingMessage,
  body: Buffer,
  res: ServerResponse,
): Promise<boolean> {
  return new Promise((resolve) => {
    const upstream = httpRequest(`${entryUrl}${req.url ?? '/'}`, {
      method: req.method,
      headers: {
        ...forwardedHeaders(req),
        ...identityHeaders(ticket),
        'content-length': body.length,
      },
    });
    upstream.on('response', (answer) => {
      const { statusCode = 0 } = answer;
      // writing it would throw in this listener, and end the process.
      if (!isFinalStatus(statusCode)) {
        upstream.destroy(new Error(`status ${String(statusCode)}`));
        return;
      }
      res.writeHead(statusCode, answer.headers);
      answer.pipe(res);
      // a truncated answer must not look complete, so the caller's connection is destroyed too.
      answer.on('close', () => {
        if (!answer.complete) res.destroy();
        resolve(true);
      });
    });
    upstream.on('error', () => {
      if (res.headersSent) res.destroy();
      resolve(res.headersSent);
    });
    res.on('close', () => upstream.destroy());
    upstream.end(body);
  });
}

/**
 * Waits until the issuer has ended a request. Resolves to true if it answered the request in full and
 * therefore billed it; false leaves the outcome unknown.
 */
export function confirmAtIssuer(entryUrl: string, ticket: string): Promise<boolean> {
  return new Promise((resolve) => {
    const upstream = httpRequest(`${entryUrl}/v1/requests/${encodeURIComponent(ticket)}`, {
      timeout: CONFIRM_TIMEOUT_MS,
    });
    upstream.on('response', (answer) => {
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    upstream.on('timeout', () => upstream.destroy());
    upstream.on('error', () => {
      resolve(false);
    });
    upstream.end();
  });
}

function forwardedHeaders(req: IncomingMessage): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (value !== undefined && !DROPPED_HEADERS.has(name)) setEntry(headers, name, value);
  }
  return headers;
}

function identityHeaders(ticket: string): Record<string, string> {
  return { 'flamingocourse-ticket': ticket, [FORWARDED_HEADER]: '1' };
}
