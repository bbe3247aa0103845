import type { ProbeResult } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { KeptServers } from '@flamingocourse/core';

const UNTIL = 2_200;

function keep(...ids: string[]): KeptServers {
  const kept = new KeptServers();
  for (const id of ids) kept.keep(id, UNTIL, 0);
  return kept;
}

describe('a server whose entry is missing', () => {
  const results: readonly { result: ProbeResult; stillKept: boolean }[] = [
    { result: 'staying', stillKept: true },
    // a busy server may not answer in time. Dropping all such servers after an outage would leave
    // none.
    { result: 'unknown', stillKept: true },
    { result: 'leaving', stillKept: false },
    { result: 'gone', stillKept: false },
  ];
  for (const { result, stillKept } of results) {
    test(`is ${stillKept ? 'kept' : 'not kept'} when the probe result is: ${result}`, () => {
      assert.equal(keep('p1').recordProbe('p1', result, 5), stillKept);
    });
  }

  test('is probed at once, not again before its answer, and half a second after it', () => {
    const kept = keep('p1', 'p2');
    assert.deepEqual(kept.takeDueProbes(0), ['p1', 'p2']);
    assert.deepEqual(kept.takeDueProbes(400), []);
    kept.recordProbe('p1', 'staying', 400);
    assert.equal(kept.nextAt, 900);
    assert.deepEqual(kept.takeDueProbes(899), []);
    assert.deepEqual(kept.takeDueProbes(900), ['p1']);
  });

  test('is no longer kept after the time limit, regardless of its answers', () => {
    const kept = keep('p1');
    kept.recordProbe('p1', 'staying', 2_100);
    assert.deepEqual(kept.expired(UNTIL - 1), []);
    assert.deepEqual(kept.expired(UNTIL), ['p1']);
    assert.deepEqual(kept.end('p1', UNTIL), { keptMs: UNTIL, lastWord: 'staying' });
    assert.equal(kept.nextAt, Infinity);
  });

  test('that is missing again is kept for longer, never for a shorter time', () => {
    const kept = keep('p1');
    assert.equal(kept.keep('p1', 3_000, 500), false);
    assert.equal(kept.keep('p1', 1_000, 600), false);
    assert.deepEqual(kept.expired(2_999), []);
  });

  test('that is no longer kept is not kept again by a late answer', () => {
    const kept = keep('p1');
    kept.end('p1', 10);
    assert.equal(kept.recordProbe('p1', 'staying', 20), false);
    assert.equal(kept.has('p1'), false);
  });
});
