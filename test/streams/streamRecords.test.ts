import type { StreamOrigin } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { StreamRecords } from '@flamingocourse/core';

const V1: StreamOrigin = { service: 'llm', version: 'v1' };
const V2: StreamOrigin = { service: 'llm', version: 'v2' };
const OTHER: StreamOrigin = { service: 'llm-b', version: 'v1' };

interface Added {
  origin: StreamOrigin;
  at: number;
  forMs?: number;
}

describe('what is known of a stream', () => {
  const cases: { name: string; added: Added[]; at: number; found: unknown }[] = [
    { name: 'nothing was recorded', added: [], at: 0, found: { type: 'unknown' } },
    {
      name: 'recorded once',
      added: [{ origin: V1, at: 0 }],
      at: 999,
      found: { type: 'known', origin: V1 },
    },
    {
      name: 'its caller no longer waits',
      added: [{ origin: V1, at: 0 }],
      at: 1_000,
      found: { type: 'unknown' },
    },
    {
      name: 'recorded again by a later try',
      added: [
        { origin: V1, at: 0 },
        { origin: V1, at: 900 },
      ],
      at: 1_500,
      found: { type: 'known', origin: V1 },
    },
    {
      name: 'a later record does not shorten an earlier one',
      added: [
        { origin: V1, at: 0 },
        { origin: V1, at: 10, forMs: 50 },
      ],
      at: 500,
      found: { type: 'known', origin: V1 },
    },
    {
      name: 'recorded with two versions',
      added: [
        { origin: V1, at: 0 },
        { origin: V2, at: 10 },
      ],
      at: 20,
      found: { type: 'ambiguous' },
    },
    {
      name: 'recorded with two services',
      added: [
        { origin: V1, at: 0 },
        { origin: OTHER, at: 10 },
      ],
      at: 20,
      found: { type: 'ambiguous' },
    },
    {
      name: 'ambiguous, then recorded with either of the versions',
      added: [
        { origin: V1, at: 0 },
        { origin: V2, at: 10 },
        { origin: V1, at: 20 },
      ],
      at: 30,
      found: { type: 'ambiguous' },
    },
    {
      name: 'the id was used again after its first caller had gone',
      added: [
        { origin: V1, at: 0 },
        { origin: V2, at: 2_000 },
      ],
      at: 2_001,
      found: { type: 'known', origin: V2 },
    },
    {
      name: 'a caller that says it waits for an hour is not believed',
      added: [{ origin: V1, at: 0, forMs: 3_600_000 }],
      at: 60_000,
      found: { type: 'unknown' },
    },
  ];
  for (const { name, added, at, found } of cases) {
    test(name, () => {
      const records = new StreamRecords();
      for (const { origin, at: addedAt, forMs = 1_000 } of added) {
        records.add({ key: 'k', origin, forMs }, 'own', addedAt);
      }
      assert.deepEqual(records.find('k', at), found);
    });
  }
});

// Guards against memory that grows with the number of streams.
test('records are bounded by number, the oldest go first', () => {
  const records = new StreamRecords();
  for (let n = 0; n < 20_000; n += 1) {
    records.add({ key: String(n), origin: V1, forMs: 30_000 }, 'own', 0);
  }
  assert.equal(records.size, 16_384);
  assert.deepEqual(records.find('0', 1), { type: 'unknown' });
  assert.deepEqual(records.find('19999', 1), { type: 'known', origin: V1 });
});

test('expired records are dropped as others come', () => {
  const records = new StreamRecords();
  for (let n = 0; n < 100; n += 1)
    records.add({ key: String(n), origin: V1, forMs: 10 }, 'peer', n);
  records.add({ key: 'last', origin: V1, forMs: 10 }, 'peer', 1_000);
  assert.equal(records.size, 1);
});

test('records to pass on have the time that is left, and no ambiguous ones', () => {
  const records = new StreamRecords();
  records.add({ key: 'own', origin: V1, forMs: 100 }, 'own', 0);
  records.add({ key: 'told', origin: V1, forMs: 100 }, 'peer', 0);
  records.add({ key: 'both', origin: V1, forMs: 100 }, 'peer', 0);
  records.add({ key: 'both', origin: V2, forMs: 100 }, 'peer', 0);
  assert.deepEqual(records.from('own', 40), [{ key: 'own', origin: V1, forMs: 60 }]);
  assert.deepEqual(records.from('peer', 40), [{ key: 'told', origin: V1, forMs: 60 }]);
  assert.deepEqual(records.from('peer', 100), []);
});
