import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { EngineMemory } from '@flamingocourse/core';

const MEMORY = 431_233;
const DOSSIER = 12_000;

describe('the memory of an engine', () => {
  const cases = [
    { name: 'few requests', own: 5, others: 10, expected: true },
    { name: 'own requests that fill it', own: 36, others: 0, expected: false },
    { name: 'requests of all instances that fill it', own: 2, others: 34, expected: false },
    { name: 'more slots than it has memory for', own: 0, others: 47, expected: true },
  ];
  for (const { name, own, others, expected } of cases) {
    // Guards against requests that an engine preempts, and reads again, for a lack of memory that was
    // foreseeable. Without own requests, the size of the others is unknown, as today.
    test(`has ${expected ? '' : 'no '}room with ${name}`, () => {
      const memory = new EngineMemory();
      for (let attempt = 0; attempt < own; attempt += 1) memory.place(attempt, 'e1', DOSSIER);
      assert.equal(memory.hasRoom('e1', DOSSIER, { own, others }, MEMORY), expected);
    });
  }

  // Guards against an engine that gets nothing any more because ended requests are still counted.
  test('is free again when requests end, once for each', () => {
    const memory = new EngineMemory();
    for (let attempt = 0; attempt < 36; attempt += 1) memory.place(attempt, 'e1', DOSSIER);
    for (let attempt = 0; attempt < 36; attempt += 1) {
      memory.release(attempt);
      memory.release(attempt);
    }
    assert.equal(memory.estimate('e1', { own: 0, others: 0 }), 0);
  });

  // Guards against a request that waits until its deadline because it alone exceeds the estimate.
  test('has room for any request while nothing runs there', () => {
    assert.ok(new EngineMemory().hasRoom('e1', 2 * MEMORY, { own: 0, others: 0 }, MEMORY));
  });

  // Guards against refusals where the configuration states no memory.
  test('is not checked while unknown', () => {
    const memory = new EngineMemory();
    memory.place(1, 'e1', MEMORY);
    assert.ok(memory.hasRoom('e1', DOSSIER, { own: 1, others: 0 }, undefined));
  });
});
