import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { enginePriority } from '@flamingocourse/gateway';

/** Prompt tokens that an engine processes per millisecond. */
const TOKENS_PER_MS = 38;

/**
 * Mean wait in milliseconds of prompts that arrive together and are processed by priority, then in
 * order.
 */
function meanWaitMs(prompts: number[], priorityOf: (prompt: number) => number): number {
  const order = prompts
    .map((prompt, at) => ({ prompt, at, priority: priorityOf(prompt) }))
    .sort((a, b) => a.priority - b.priority || a.at - b.at);
  let now = 0;
  let waited = 0;
  for (const { prompt } of order) {
    waited += now;
    now += prompt / TOKENS_PER_MS;
  }
  return waited / prompts.length;
}

// guards against short prompts that wait most of a second behind one of 30,000 tokens, because
// prompts that arrive at the same time are processed in order of arrival.
describe('a long prompt before short ones', () => {
  const prompts = [30_000, 9_000, 500, 2_000, 700, 600];
  const byPriority = meanWaitMs(prompts, (prompt) => enginePriority({ prompt, most: 80 }));
  const inOrder = meanWaitMs(prompts, () => 5);

  test('delays them far less when the shortest is processed first', () => {
    assert.ok(byPriority < inOrder / 4, `${String(byPriority)} of ${String(inOrder)} ms`);
  });
});

const cases = [
  { prompt: 100, expected: 1 },
  { prompt: 1_000, expected: 1 },
  { prompt: 9_190, expected: 4 },
  { prompt: 40_000, expected: 6 },
];
for (const { prompt, expected } of cases) {
  test(`${String(prompt)} tokens get priority ${String(expected)}`, () => {
    assert.equal(enginePriority({ prompt, most: 80 }), expected);
  });
}
