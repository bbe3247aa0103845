/** HTTP exchanges with a bounded answer, over keep-alive connections. */

import type { Agent, IncomingHttpHeaders } from 'node:http';
import { request } from 'node:http';
import { Result } from 'true-myth';
import { onTimeout } from './timeLimit.js';

/** A request to send. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  url: URL;
  /** JSON text. */
  body?: string;
  /** Additional headers. */
  headers?: Record<string, string>;
  /** Timeout of the whole exchange in milliseconds. @default none; `signal` can abort it */
  timeoutMs?: number;
  maxAnswerBytes: number;
  agent: Agent;
  signal?: AbortSignal | undefined;
}

/** A complete answer. */
export interface HttpAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
}

/** Why there is no complete answer. */
export interface TransportFault {
  reason: 'timeout' | 'aborted' | 'broken' | 'too-large';
  cause?: unknown;
}

/**
 * Sends a request and reads the whole answer. Never rejects.
 *
 * @example
 * const answer = await exchange({ method: 'GET', url, timeoutMs: 1_500, maxAnswerBytes, agent });
 */
export function exchange(call: HttpCall): Promise<Result<HttpAnswer, TransportFault>> {
  return new Promise((resolve) => {
    const headers = { ...call.headers, ...(call.body === undefined ? {} : jsonHeaders(call.body)) };
    const { method, agent, signal } = call;
    const req = request(call.url, { method, agent, headers, ...(signal ? { signal } : {}) });
    const finish = (result: Result<HttpAnswer, TransportFault>): void => {
      stopTimer();
      resolve(result);
    };
    const fail = (reason: TransportFault['reason'], cause?: unknown): void => {
      finish(Result.err({ reason, cause }));
      req.destroy();
    };
    // one timer for the whole exchange, so that a peer that sends single bytes slowly also times
    // out.
    const stopTimer = onTimeout(call.timeoutMs, () => {
      fail('timeout');
    });
    req.on('error', (err) => {
      fail(signal?.aborted ? 'aborted' : 'broken', err);
    });
    req.on('response', (res) => {
      const chunks: Buffer[] = [];
      let size = 0;
      res.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size > call.maxAnswerBytes) fail('too-large');
        else chunks.push(chunk);
      });
      res.on('error', (err) => {
        fail('broken', err);
      });
      res.on('end', () => {
        const body = Buffer.concat(chunks).toString('utf8');
        finish(Result.ok({ status: res.statusCode ?? 0, headers: res.headers, body }));
      });
    });
    req.end(call.body);
  });
}

function jsonHeaders(body: string): Record<string, string | number> {
  return { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
}
