/**
 * The part of `fetch` that the tRPC client needs, over `node:http` with kept-alive connections. It
 * costs about half the time of the built-in fetch here.
 */

import type { HTTPLinkOptions } from '@trpc/client';
import type { Agent, IncomingMessage } from 'node:http';
import type { MeshRouter } from '../runtime/meshRouter.js';
import { request } from 'node:http';

/** A call that got no whole answer. */
export class TransportError extends Error {
  constructor(
    readonly reason: 'broken' | 'too-large' | 'refused',
    options: { cause?: unknown } = {},
  ) {
    super(`no answer from the peer: ${reason}`, options);
    this.name = 'TransportError';
  }
}

/** Limits of one exchange. */
export interface NodeFetchOptions {
  agent: Agent;
  maxAnswerBytes: number;
}

const statusTooMany = 429;

/** The client's own type of the function that it calls. */
type FetchEsque = NonNullable<HTTPLinkOptions<MeshRouter['_def']['_config']['$types']>['fetch']>;

type FetchAnswer = Awaited<ReturnType<FetchEsque>>;

/**
 * Creates the function.
 *
 * @example
 * httpLink({ url, fetch: createNodeFetch({ agent, maxAnswerBytes: 1_048_576 }) });
 */
export function createNodeFetch(options: NodeFetchOptions): FetchEsque {
  return (input, init) =>
    new Promise<FetchAnswer>((resolve, reject) => {
      const body = typeof init?.body === 'string' ? init.body : '';
      const headers = {
        ...(init?.headers as Record<string, string> | undefined),
        'content-length': Buffer.byteLength(body),
      };
      const req = request(input as string, { method: 'POST', agent: options.agent, headers });
      const fail = (reason: TransportError['reason'], cause?: unknown): void => {
        reject(new TransportError(reason, { cause }));
        req.destroy();
      };
      init?.signal?.addEventListener(
        'abort',
        () => {
          fail('broken', 'given up by the caller');
        },
        { once: true },
      );
      req.on('error', (err) => {
        fail('broken', err);
      });
      req.on('response', (res) => {
        readAnswer(res, options.maxAnswerBytes, fail, resolve);
      });
      req.end(body);
    });
}

function readAnswer(
  res: IncomingMessage,
  maxBytes: number,
  fail: (reason: TransportError['reason'], cause?: unknown) => void,
  done: (answer: FetchAnswer) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  const status = res.statusCode ?? 0;
  res.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxBytes) fail('too-large');
    else chunks.push(chunk);
  });
  res.on('error', (err) => {
    fail('broken', err);
  });
  res.on('end', () => {
    if (status === statusTooMany) fail('refused');
    else done(createAnswer(status, Buffer.concat(chunks)));
  });
}

function createAnswer(status: number, bytes: Buffer): FetchAnswer {
  return {
    ok: status < 300,
    json: () => Promise.resolve(JSON.parse(bytes.toString('utf8')) as unknown),
  };
}
