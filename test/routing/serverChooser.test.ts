import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { BackendServer, Candidate, ServerChooserName } from '@flamingocourse/core';
import { chooseServer, createServerChooser, hash32, ServerPool } from '@flamingocourse/core';
import { createRandom } from './fixtures/seededRandom.js';

function candidate(id: string, load: number, capacity = 10): Candidate {
  const idHash = hash32(id);
  return {
    id,
    idHash,
    url: `http://${id}`,
    local: true,
    load,
    capacity,
    isDue: false,
    hasRoom: true,
  };
}

/** Counts the picks per server in 600 choices for one prefix. */
function countPicks(name: ServerChooserName, loads: number[], prefix = 'shop'): number[] {
  const [first, ...rest] = loads.map((load, i) => candidate(`s${i}`, load));
  assert.ok(first);
  const chooser = createServerChooser(name);
  const random = createRandom(7);
  const counts = loads.map(() => 0);
  for (let i = 0; i < 600; i += 1) {
    const { id } = chooser.pick([first, ...rest], { prefixHash: hash32(prefix) }, random);
    const index = Number(id.slice(1));
    counts[index] = (counts[index] ?? 0) + 1;
  }
  return counts;
}

test('round robin is even, random nearly so', () => {
  assert.deepEqual(countPicks('round-robin', [0, 0, 0]), [200, 200, 200]);
  assert.ok(countPicks('random', [0, 0, 0]).every((count) => count > 150));
});

test('the server with the lowest load relative to its capacity is picked', () => {
  assert.deepEqual(countPicks('least-loaded', [5, 1, 3]), [0, 600, 0]);
});

test('power of two never picks the most loaded and does not herd on the least', () => {
  const [least, middle, most] = countPicks('power-of-two', [1, 3, 5]);
  assert.equal(most, 0);
  assert.ok((least ?? 0) > 300 && (middle ?? 0) > 100);
});

describe('prefix affinity', () => {
  test('one prefix stays at one server, and different prefixes are spread', () => {
    assert.equal(Math.max(...countPicks('prefix-affinity', [2, 2, 2])), 600);
    const owners = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map((prefix) => {
      const counts = countPicks('prefix-affinity', [2, 2, 2], prefix);
      return counts.indexOf(Math.max(...counts));
    });
    assert.equal(new Set(owners).size, 3);
  });

  // Guards against callers that wait while other servers are idle: all share one prompt prefix and
  // are sent to its one server regardless of its load.
  test('a prefix moves to another server if the load of its own is far above the mean', () => {
    const owner = countPicks('prefix-affinity', [2, 2, 2]).indexOf(600);
    const loads = [2, 2, 2].map((load, i) => (i === owner ? 9 : load));
    assert.equal(countPicks('prefix-affinity', loads)[owner], 0);
  });
});

describe('data centres', () => {
  function server(id: string, dataCentre: string): BackendServer {
    return { service: 'llm', id, dataCentre, url: `http://${id}`, state: 'live' };
  }
  function choose(busy: string[], tried: string[] = []): string | undefined {
    const pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer: 1 });
    pool.applyList([server('a1', 'dc-a'), server('a2', 'dc-a'), server('b1', 'dc-b')], 0);
    for (const id of busy) pool.dispatch(id, 0);
    const chooser = createServerChooser('least-loaded');
    return chooseServer(pool, chooser, {}, { tried: new Set(tried) }, 0, createRandom(1))?.id;
  }
  const cases = [
    { busy: [], tried: [], expected: 'a1' },
    { busy: [], tried: ['a1'], expected: 'a2' },
    { busy: ['a1', 'a2'], tried: [], expected: 'b1' },
    { busy: ['a2'], tried: ['a1'], expected: 'b1' },
    { busy: ['a1', 'a2', 'b1'], tried: [], expected: undefined },
  ];
  for (const { busy, tried, expected } of cases) {
    test(`busy ${busy.join()}, tried ${tried.join()}: ${expected ?? 'waits'}`, () => {
      assert.equal(choose(busy, tried), expected);
    });
  }
});
