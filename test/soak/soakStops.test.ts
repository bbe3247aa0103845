import type { SeenAnswer } from './soakCallers.js';
import type { Arrival, StopObservations } from './soakStops.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { USED_INSTANCE } from '../platform/fakeServer.js';
import { checkStops } from './soakStops.js';

const GRACE_MS = 4_000;
const STOP_AT = 10_000;
const EXITED_AT = 13_700;

/** A plain request that reached a server during the stop and got no answer. */
const lost: SeenAnswer = {
  id: 'r-1',
  kind: 'book',
  account: 'kirk',
  prompt: 100,
  status: 0,
  answeredId: undefined,
  body: '',
  complete: false,
  instance: 'edge-1',
  sentAt: STOP_AT + 1_000,
  endedAt: STOP_AT + 3_600,
  left: false,
};

const arrival: Arrival = {
  server: 'p1',
  method: 'POST',
  url: '/book/1',
  headers: { 'x-request-id': 'r-1', [USED_INSTANCE]: 'edge-1' },
  body: '',
  at: STOP_AT + 1_005,
  ran: true,
  endedAt: STOP_AT + 3_600,
  broke: false,
};

interface Case {
  name: string;
  answer?: Partial<SeenAnswer>;
  arrival?: Partial<Arrival>;
  seen?: Partial<StopObservations>;
}

function countBroken({ answer, arrival: change, seen }: Case): number {
  const stops = [{ at: STOP_AT, exitedAt: EXITED_AT }];
  return checkStops({
    answers: [{ ...lost, ...answer }],
    arrivals: [{ ...arrival, ...change }],
    instances: [{ name: 'edge-1', stops, harmedAt: [] }],
    cuts: [],
    graceMs: GRACE_MS,
    ...seen,
  }).broken.length;
}

function harmedAt(at: number): Partial<StopObservations> {
  const stops = [{ at: STOP_AT, exitedAt: EXITED_AT }];
  return { instances: [{ name: 'edge-1', stops, harmedAt: [at] }] };
}

const cut = { server: 'p1', from: STOP_AT + 1_500, until: STOP_AT + 2_000 };
const stream = { kind: 'chat', status: 200 } as const;

// Guards against a check of stops that passes over requests which an instance has lost.
describe('a request lost in a stop is found', () => {
  const cases: Case[] = [
    { name: 'sent on and not answered' },
    { name: 'answered in part', answer: { status: 200 } },
    { name: 'sent before the signal', answer: { sentAt: STOP_AT - 5_000 } },
    { name: 'a kill earlier than the time that counts', seen: harmedAt(STOP_AT - 3_001) },
    { name: 'a kill after the exit', seen: harmedAt(EXITED_AT + 1) },
    { name: 'a stream sent too late', answer: { ...stream, sentAt: STOP_AT + 3_001 } },
    {
      name: 'a stream given up before the last sixth of the grace period',
      answer: stream,
      arrival: { endedAt: STOP_AT + 3_333 },
    },
    { name: 'no answer although only the server was cut off', seen: { cuts: [cut] } },
    {
      name: 'a part of an answer while another server was cut off',
      answer: { status: 200 },
      seen: { cuts: [{ ...cut, server: 'p2' }] },
    },
    {
      name: 'a part of an answer while another instance was cut off',
      answer: { status: 200 },
      seen: { cuts: [{ ...cut, instance: 'edge-2' }] },
    },
    {
      name: 'a refusal that is cut off',
      answer: { status: 503 },
      seen: { arrivals: [] },
    },
  ];
  for (const each of cases) {
    test(each.name, () => {
      assert.equal(countBroken(each), 1);
    });
  }
});

// Guards against a check of stops that blames an instance for what it can't prevent.
describe('a request that is not answered whole in a stop is excused', () => {
  const cases: Case[] = [
    { name: 'answered whole', answer: { status: 502, complete: true } },
    { name: 'its caller left', answer: { left: true } },
    { name: 'its server broke', arrival: { broke: true } },
    { name: 'it reached no server', seen: { arrivals: [] } },
    { name: 'it ended before the signal', answer: { endedAt: STOP_AT - 1 } },
    { name: 'it was sent after the exit', answer: { sentAt: EXITED_AT + 1, endedAt: Infinity } },
    { name: 'a kill within the time that counts', seen: harmedAt(STOP_AT - 3_000) },
    { name: 'a pause during the stop', seen: harmedAt(STOP_AT + 1) },
    {
      name: 'a stream that still runs in the last sixth of the grace period',
      answer: { ...stream, sentAt: STOP_AT + 3_000 },
      arrival: { endedAt: STOP_AT + 3_334 },
    },
    {
      name: 'a part of an answer while its server was cut off',
      answer: { status: 200 },
      seen: { cuts: [cut] },
    },
    {
      name: 'a part of an answer while its instance was cut off from its server',
      answer: { status: 200 },
      seen: { cuts: [{ ...cut, instance: 'edge-1' }] },
    },
  ];
  for (const each of cases) {
    test(each.name, () => {
      assert.equal(countBroken(each), 0);
    });
  }
});
