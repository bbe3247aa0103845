/** HTTP exchanges with a bounded answer, over keep-alive connections. */

import type { Agent, ClientRequest, IncomingHttpHeaders } from 'node:http';
import type { BodyBuffers } from '../runtime/heldBytes.js';
import { request } from 'node:http';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import { ByteCollector } from '../runtime/byteCollector.js';
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
  /** Counts the bytes held for this and other answers. */
  buffers: BodyBuffers;
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
  /** `unsendable`: no request can carry the URL or a header; nothing was sent. */
  reason: 'timeout' | 'aborted' | 'broken' | 'too-large' | 'unsendable';
  cause?: unknown;
}

/**
 * Sends a request and reads the whole answer. Never rejects.
 *
 * @example
 * const answer = await exchange({ method: 'GET', url, timeoutMs: 1_500, maxAnswerBytes, agent });
 */
export function exchange(call: HttpCall): Promise<Result<HttpAnswer, TransportFault>> {
  const created = tryOrElse(
    (cause): TransportFault => ({ reason: 'unsendable', cause }),
    () => createRequest(call),
  );
  if (created.isErr) return Promise.resolve(Result.err(created.error));
  const req = created.value;
  return new Promise((resolve) => {
    const { signal } = call;
    const held = call.buffers.open();
    const finish = (result: Result<HttpAnswer, TransportFault>): void => {
      stopTimer();
      held.release();
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
      const bytes = new ByteCollector();
      res.on('data', (chunk: Buffer) => {
        const isTooLarge = bytes.size + chunk.length > call.maxAnswerBytes;
        if (isTooLarge || !held.addChunk(chunk.length)) fail('too-large');
        else bytes.add(chunk);
      });
      res.on('error', (err) => {
        fail('broken', err);
      });
      res.on('end', () => {
        const body = bytes.toBuffer().toString('utf8');
        finish(Result.ok({ status: res.statusCode ?? 0, headers: res.headers, body }));
      });
    });
    req.end(call.body);
  });
}

function createRequest(call: HttpCall): ClientRequest {
  const headers = { ...call.headers, ...(call.body === undefined ? {} : jsonHeaders(call.body)) };
  const { method, agent, signal } = call;
  return request(call.url, { method, agent, headers, ...(signal ? { signal } : {}) });
}

function jsonHeaders(body: string): Record<string, string | number> {
  return { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
}
