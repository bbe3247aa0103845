import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { QuarantineEvent, QuarantineState } from '@flamingocourse/core';
import {
  createQuarantine,
  judgeFingerprint,
  mergeQuarantines,
  quarantineHint,
  reduceQuarantine,
} from '@flamingocourse/core';
import fc from 'fast-check';

function crash(server: string, ...inFlight: string[]): QuarantineEvent {
  return { type: 'crashed', server, inFlight };
}

function finish(fingerprint: string): QuarantineEvent {
  return { type: 'finished', fingerprint };
}

/** Applies one event per second. */
function after(events: QuarantineEvent[], from = createQuarantine()): QuarantineState {
  return events.reduce((state, event, i) => reduceQuarantine(state, event, (i + 1) * 1_000), from);
}

const now = 20_000;

describe('verdicts', () => {
  // One request crashes each server that runs it, and its caller sends it again. The other requests
  // that were in flight on the first server are innocent and must get their answers.
  const cases = [
    { name: 'no events', events: [], poison: 'clear', neighbour: 'clear' },
    {
      name: 'one crash makes all in flight suspects',
      events: [crash('s1', 'poison', 'neighbour')],
      poison: 'suspect',
      neighbour: 'suspect',
    },
    {
      name: 'a second crash, alone on another server',
      events: [crash('s1', 'poison', 'neighbour'), crash('s2', 'poison'), finish('neighbour')],
      poison: 'quarantined',
      neighbour: 'clear',
    },
    {
      name: 'a second crash beside a request that was never suspect',
      events: [crash('s1', 'poison'), crash('s2', 'poison', 'neighbour')],
      poison: 'quarantined',
      neighbour: 'suspect',
    },
    {
      name: 'a second crash together with another suspect proves nothing yet',
      events: [crash('s1', 'poison', 'neighbour'), crash('s2', 'poison', 'neighbour')],
      poison: 'suspect',
      neighbour: 'suspect',
    },
    {
      name: 'a finished run clears the crashes before it',
      events: [crash('s1', 'poison'), finish('poison'), crash('s2', 'poison')],
      poison: 'suspect',
      neighbour: 'clear',
    },
    {
      name: 'two crashes of the same server may be its own fault',
      events: [crash('s1', 'poison'), crash('s1', 'poison')],
      poison: 'suspect',
      neighbour: 'clear',
    },
    {
      name: 'three crashes alone on the only server',
      events: [crash('s1', 'poison'), crash('s1', 'poison'), crash('s1', 'poison')],
      poison: 'quarantined',
      neighbour: 'clear',
    },
    {
      name: 'a copy that finishes late does not end the quarantine',
      events: [crash('s1', 'poison'), crash('s2', 'poison'), finish('poison')],
      poison: 'quarantined',
      neighbour: 'clear',
    },
    {
      name: 'an operator releases it',
      events: [
        crash('s1', 'poison'),
        crash('s2', 'poison'),
        { type: 'released', fingerprint: 'poison' } as const,
      ],
      poison: 'clear',
      neighbour: 'clear',
    },
  ];
  for (const { name, events, poison, neighbour } of cases) {
    test(name, () => {
      const state = after(events);
      assert.equal(judgeFingerprint(state, 'poison', now), poison);
      assert.equal(judgeFingerprint(state, 'neighbour', now), neighbour);
    });
  }

  const ages = [
    { events: [crash('s1', 'poison')], at: 590_000, expected: 'suspect' },
    { events: [crash('s1', 'poison')], at: 610_000, expected: 'clear' },
    {
      events: [crash('s1', 'poison'), crash('s2', 'poison')],
      at: 610_000,
      expected: 'quarantined',
    },
    { events: [crash('s1', 'poison'), crash('s2', 'poison')], at: 9e7, expected: 'clear' },
  ];
  for (const { events, at, expected } of ages) {
    test(`after ${events.length} crashes, at ${at} ms: ${expected}`, () => {
      assert.equal(judgeFingerprint(after(events), 'poison', at), expected);
    });
  }
});

describe('peers', () => {
  // The harmful request moves on to another router and crashes its servers too, but each router
  // alone has observed only one crash.
  test('a hint makes a request a suspect at the peer, so that its next crash counts as the second', () => {
    const hint = quarantineHint(after([crash('s1', 'poison')]), 10);
    const peer = mergeQuarantines(createQuarantine(), structuredClone(hint), now);
    assert.equal(judgeFingerprint(peer, 'poison', now), 'suspect');
    const second = reduceQuarantine(peer, crash('s9', 'poison'), now);
    assert.equal(judgeFingerprint(second, 'poison', now), 'quarantined');
  });

  test('a late hint of a crash does not override that the request was cleared', () => {
    const suspect = after([crash('s1', 'neighbour')]);
    const cleared = after([crash('s1', 'neighbour'), finish('neighbour')]);
    const merged = mergeQuarantines(cleared, suspect, now);
    assert.equal(judgeFingerprint(merged, 'neighbour', now), 'clear');
  });

  test('merging is commutative, associative and idempotent', () => {
    const name = fc.constantFrom('a', 'b', 'c');
    const event: fc.Arbitrary<QuarantineEvent> = fc.oneof(
      fc
        .tuple(fc.constantFrom('s1', 's2'), fc.uniqueArray(name, { minLength: 1 }))
        .map(([server, inFlight]) => crash(server, ...inFlight)),
      name.map(finish),
      name.map((fingerprint) => ({ type: 'released' as const, fingerprint })),
    );
    const state = fc.array(event, { maxLength: 8 }).map((events) => after(events));
    const merge = (a: QuarantineState, b: QuarantineState) => mergeQuarantines(a, b, now);
    fc.assert(
      fc.property(state, state, state, (a, b, c) => {
        assert.deepEqual(merge(a, b), merge(b, a));
        assert.deepEqual(merge(merge(a, b), c), merge(a, merge(b, c)));
        assert.deepEqual(merge(merge(a, b), b), merge(a, b));
      }),
      { seed: 5, numRuns: 300 },
    );
  });
});

test('memory is bounded, and quarantined requests outlive suspects', () => {
  let state = after([crash('s1', 'poison'), crash('s2', 'poison')]);
  state = reduceQuarantine(state, crash('s3', 'twice'), 2_900);
  state = reduceQuarantine(state, crash('s4', 'twice'), 2_901);
  for (let i = 0; i < 6_000; i += 1) {
    state = reduceQuarantine(state, crash('s3', `other-${i}`), 3_000 + i);
  }
  const count = Object.keys(state.entries).length;
  assert.ok(count >= 3_072 && count <= 4_096, `${count} entries`);
  assert.equal(judgeFingerprint(state, 'poison', 9_000), 'quarantined');
  // what has more crashes outlives newer suspects.
  assert.equal(state.entries.twice?.crashes.length, 2);
});
