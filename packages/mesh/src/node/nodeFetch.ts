/**
 * The part of `fetch` that the tRPC client needs, over `node:http` with keep-alive connections. It
 * takes about half the time of the built-in fetch.
 */

import type { HTTPLinkOptions } from '@trpc/client';
import type { BodyBuffers, TransportFault } from '@flamingocourse/kernel';
import type { Agent } from 'node:http';
import type { MeshRouter } from '../runtime/meshRouter.js';
import { exchange, parseJsonText } from '@flamingocourse/kernel';

/** Error of a call that got no complete answer, or that the peer refused with status 429. */
export class TransportError extends Error {
  constructor(
    readonly reason: 'broken' | 'too-large' | 'refused',
    options: { cause?: unknown } = {},
  ) {
    super(`no answer from the peer: ${reason}`, options);
    this.name = 'TransportError';
  }
}

/** Options of {@link createNodeFetch}. */
export interface NodeFetchOptions {
  agent: Agent;
  maxAnswerBytes: number;
  buffers: BodyBuffers;
}

const statusTooMany = 429;

/** Type of the fetch function that the tRPC client accepts. */
type FetchEsque = NonNullable<HTTPLinkOptions<MeshRouter['_def']['_config']['$types']>['fetch']>;

type FetchAnswer = Awaited<ReturnType<FetchEsque>>;

/**
 * Creates a fetch function for the tRPC client. It throws {@link TransportError}.
 *
 * @example
 * httpLink({ url, fetch: createNodeFetch({ agent, maxAnswerBytes: 1_048_576 }) });
 */
export function createNodeFetch({ agent, maxAnswerBytes, buffers }: NodeFetchOptions): FetchEsque {
  return async (input, init) => {
    const answer = await exchange({
      method: 'POST',
      url: new URL(input as string),
      body: typeof init?.body === 'string' ? init.body : '',
      headers: { ...(init?.headers as Record<string, string> | undefined) },
      agent,
      maxAnswerBytes,
      buffers,
      signal: init?.signal ?? undefined,
    });
    if (answer.isErr) throw toTransportError(answer.error);
    const { status, body } = answer.value;
    if (status === statusTooMany) throw new TransportError('refused');
    return createAnswer(status, body);
  };
}

function toTransportError({ reason, cause }: TransportFault): TransportError {
  return new TransportError(reason === 'too-large' ? 'too-large' : 'broken', { cause });
}

function createAnswer(status: number, body: string): FetchAnswer {
  return {
    ok: status < 300,
    json: () => Promise.resolve(parseJsonText(body)),
  };
}
