import type { SeenAnswer } from './soakCallers.js';
import type { ServerArrival } from './soakResponseChecks.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { brokenResponses, responseBody } from './soakResponseChecks.js';

const OWN = responseBody('p1', 'q-1');

function answerWith(change: Partial<SeenAnswer>): SeenAnswer {
  return {
    id: 'q-1',
    kind: 'book',
    account: 'kirk',
    prompt: 100,
    status: 200,
    answeredId: 'q-1',
    signature: 'proof-of-p1',
    body: OWN,
    complete: true,
    instance: 'edge-1',
    sentAt: 0,
    endedAt: 1,
    left: false,
    ...change,
  };
}

function arrivalWith(status: number): ServerArrival {
  const headers = { 'x-request-id': 'q-1' };
  const seen = { method: 'POST', url: '/book/1', headers, body: '', at: 0, ran: true };
  return { ...seen, endedAt: 1, broke: false, status, server: 'p1' };
}

// Guards against a soak that does not see a response of another request, or one that no server gave.
describe('the check of responses', () => {
  const cases: { name: string; change: Partial<SeenAnswer>; gave?: number; broken: RegExp[] }[] = [
    { name: 'accepts the whole body', change: {}, broken: [] },
    {
      name: 'accepts a body that breaks off',
      change: { body: OWN.slice(0, 9), complete: false },
      broken: [],
    },
    {
      name: 'accepts a refusal by the router',
      change: { status: 503, signature: undefined, body: '{}' },
      broken: [],
    },
    {
      name: 'sees a body that ends early as complete',
      change: { body: OWN.slice(0, 9) },
      broken: [/another body as complete/],
    },
    {
      name: 'sees the body of another request',
      change: { body: responseBody('p1', 'q-4') },
      broken: [/another body/],
    },
    {
      name: 'sees a part of it',
      change: { body: responseBody('p1', 'q-4').slice(0, 15), complete: false },
      broken: [/another body/],
    },
    {
      name: 'sees a success without a signature',
      change: { signature: undefined },
      broken: [/without a signature/, /another body/],
    },
    {
      name: 'sees a failure that the server did not give',
      change: { status: 500, body: 'failed' },
      broken: [/did not give it/],
    },
    {
      name: 'accepts a failure that it gave',
      change: { status: 500, body: 'failed' },
      gave: 500,
      broken: [],
    },
    {
      name: 'sees the id of another request in a failure',
      change: { status: 502, signature: undefined, answeredId: 'q-4' },
      broken: [/the answer to q-4/],
    },
  ];
  for (const { name, change, gave = 200, broken } of cases) {
    test(name, () => {
      const found = brokenResponses([answerWith(change)], [arrivalWith(gave)]);
      assert.equal(found.length, broken.length, found.join('\n'));
      for (const [at, pattern] of broken.entries()) assert.match(found[at] ?? '', pattern);
    });
  }
});
