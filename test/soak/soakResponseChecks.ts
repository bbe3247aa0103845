/** Checks that each answer to a caller is one that a server gave to this request. */

import type { SeenRequest } from '../platform/fakeServer.js';
import type { SeenAnswer } from './soakCallers.js';

/** Sizes of the plain responses in bytes: in one segment, in several, and beyond a read of the router. */
const BODY_BYTES = [20, 3_000, 150_000];
/** Text before the id of the server in a signature. */
const SIGNATURE_PREFIX = 'proof-of-';

/** Body of a server's plain response to a request, which no other server or request has. */
export function responseBody(server: string, requestId: string): string {
  const text = `from ${server} to ${requestId};`;
  const number = Number(/\d+$/.exec(requestId)?.[0] ?? 0);
  const bytes = BODY_BYTES[number % BODY_BYTES.length] ?? 0;
  return text.repeat(Math.ceil(bytes / text.length));
}

/** A request as one server received it. */
export interface ServerArrival extends SeenRequest {
  server: string;
}

/**
 * Returns the broken promises, one sentence each.
 *
 * @example
 * assert.deepEqual(brokenResponses(answers, arrivals), []);
 */
export function brokenResponses(
  answers: readonly SeenAnswer[],
  arrivals: readonly ServerArrival[],
): string[] {
  const byId = new Map<string, ServerArrival[]>();
  for (const arrival of arrivals) {
    const id = String(arrival.headers['x-request-id']);
    byId.set(id, [...(byId.get(id) ?? []), arrival]);
  }
  return answers.flatMap((answer) => {
    const broken = brokenParts(answer, byId.get(answer.id) ?? []);
    return broken.map((what) => `${answer.id} (${answer.kind}) at ${answer.instance} ${what}`);
  });
}

function brokenParts(answer: SeenAnswer, arrivals: readonly ServerArrival[]): string[] {
  const { id, status, answeredId, signature, body, complete, kind } = answer;
  const isPlain = kind === 'look' || kind === 'book';
  const server = signature?.slice(SIGNATURE_PREFIX.length) ?? '';
  const gave = arrivals.some((each) => each.server === server && each.status === status);
  const own = responseBody(server, id);
  const isOwn = complete ? body === own : own.startsWith(body);
  const brief = `${body.slice(0, 80)} (${String(body.length)} bytes)`;
  return [
    ...(answeredId !== undefined && answeredId !== id ? [`got the answer to ${answeredId}`] : []),
    ...(status === 200 && signature === undefined ? ['got a success without a signature'] : []),
    ...(signature !== undefined && !gave
      ? [`got ${String(status)} with a signature of ${server}, which did not give it`]
      : []),
    ...(status === 200 && isPlain && !isOwn
      ? [`got another body${complete ? ' as complete' : ''}: ${brief}`]
      : []),
  ];
}
