import type { ConditionSums, ServiceDemand } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  MAX_HEADER_TEXT_LENGTH,
  boundDemand,
  packSums,
  packedSumsSchema,
} from '@flamingocourse/core';
import fc from 'fast-check';
import { followAnswerSchema } from '../../packages/gateway/src/utils/followAnswerSchema.js';
import { MAX_DIRECT_INPUT_BYTES } from '../../packages/mesh/src/node/directCalls.js';
import { inputSchemas } from '../../packages/mesh/src/runtime/schemas.js';

const longest = 'é'.repeat(MAX_HEADER_TEXT_LENGTH);
const names = ['', '__proto__', 'constructor', 'i 7', longest];

// Guards against messages that a peer refuses as a whole because of what one account, service or version is called.
describe('a message to a peer', () => {
  for (const name of names) {
    test(`names accounts, services, servers and versions ${JSON.stringify(name.slice(0, 12))}`, () => {
      const entries = { [name]: { spent: 1, keeps: 1, wants: 1, rate: 1 } };
      const report = { instance: 'edge-1', incarnation: 'a', seq: 1, last: false, entries };
      const messages = {
        borrow: { report, urgent: { [name]: 1 }, typicalRequest: 1, interest: [name] },
        writeReport: { group: '0', report },
        keepStreams: {
          streams: [{ key: 'k', origin: { service: name, version: name }, forMs: 1 }],
        },
        findStream: { key: 'k', services: [name] },
        exchangeNews: {
          from: 'edge-1',
          known: { 'edge-1': 1 },
          items: [
            {
              origin: 'edge-1',
              seq: 1,
              ageMs: 0,
              news: { type: 'crashed', server: name, inFlight: [] },
            },
          ],
        },
        recall: { account: name, amount: 1, forDataCentre: 'hall-a' },
      };
      for (const [procedure, message] of Object.entries(messages)) {
        const schema = inputSchemas[procedure as keyof typeof messages];
        const parsed = schema.safeParse(JSON.parse(JSON.stringify(message)));
        assert.ok(parsed.success, `${procedure}: ${String(parsed.error?.message)}`);
        assert.equal(JSON.stringify(parsed.data), JSON.stringify(message));
      }
    });
  }

  test('passes on changes of objects of any names', () => {
    const changes = names.map((name) => ({ type: 'removed', name }));
    const collections = { servers: { version: '1', ageMs: 0, changes } };
    assert.ok(followAnswerSchema.safeParse({ collections, heldMs: 0 }).success);
  });

  test('reports demand and pressure of any names in a message of bounded length', () => {
    const anyName = fc.oneof(fc.string({ maxLength: 40 }), fc.constantFrom(...names));
    fc.assert(
      fc.property(fc.array(anyName, { maxLength: 60 }), (used) => {
        const packed = packSums(sumsOf(used));
        const parsed = packedSumsSchema.safeParse(JSON.parse(JSON.stringify(packed)));
        assert.ok(parsed.success, parsed.error?.message);
        assert.ok(Buffer.byteLength(JSON.stringify(packed)) <= MAX_DIRECT_INPUT_BYTES);
      }),
    );
  });

  test('keeps the sum of demand whatever its accounts are called', () => {
    const demand = boundDemand({ chat: demandOf(names) });
    const { accounts, rest } = demand.chat ?? demandOf([]);
    assert.deepEqual(Object.keys(accounts).sort(), names.slice(0, 4).sort());
    assert.deepEqual(rest, { accounts: 1, room: { first: 0, standard: 1, background: 0 } });
  });
});

function demandOf(accounts: readonly string[]): ServiceDemand {
  const rooms = accounts.map((name) => [name, { first: 0, standard: 1, background: 0 }] as const);
  const rest = { accounts: 0, room: { first: 0, standard: 0, background: 0 } };
  return { accounts: Object.fromEntries(rooms), rest, served: 1, lateness: 0, crowded: true };
}

function sumsOf(used: readonly string[]): ConditionSums {
  return {
    from: 'edge-1',
    dataCentre: 'hall-a',
    scope: 'fleet',
    ageMs: 0,
    dataCentres: used.map((dataCentre) => {
      const instances = { calm: 1, pressed: 0, overloaded: 0 };
      return { dataCentre, instances, ready: 1, ageMs: 0 };
    }),
    peers: used.map((instance) => ({ instance, pressure: 'pressed', ready: true, ageMs: 0 })),
    demand: boundDemand(Object.fromEntries(used.map((service) => [service, demandOf(used)]))),
  };
}
