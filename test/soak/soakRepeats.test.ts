import type { SeenRequest } from '../platform/fakeServer.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { brokenRepeats } from './soakRepeats.js';

function arrival(id: string, at: number): SeenRequest {
  const headers = { 'x-request-id': id };
  return {
    method: '',
    url: '',
    headers,
    body: '',
    at,
    ran: true,
    endedAt: undefined,
    broke: false,
  };
}

/** Arrivals of one request, the first and its repeats, over a time. */
function repeats(count: number, overMs: number): SeenRequest[] {
  return Array.from({ length: count + 1 }, (_, at) => arrival('r', (at * overMs) / count));
}

describe('repeated requests', () => {
  const many = Array.from({ length: 100 }, (_, at) => at * 100);
  for (const { name, arrivals, sentAt, broken } of [
    { name: 'within the slack', arrivals: repeats(54, 9_000), sentAt: [], broken: 0 },
    { name: 'beyond the slack', arrivals: repeats(55, 9_000), sentAt: [], broken: 1 },
    {
      name: 'beyond the slack over two windows',
      arrivals: repeats(60, 20_000),
      sentAt: [],
      broken: 0,
    },
    {
      name: 'within a fifth of the requests',
      arrivals: repeats(73, 9_000),
      sentAt: many,
      broken: 0,
    },
    {
      name: 'beyond a fifth of the requests',
      arrivals: repeats(76, 9_000),
      sentAt: many,
      broken: 1,
    },
  ]) {
    test(`${name}: ${String(broken)} broken`, () => {
      assert.equal(brokenRepeats(arrivals, sentAt).length, broken);
    });
  }
});
