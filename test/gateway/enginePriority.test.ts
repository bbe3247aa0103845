import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { enginePriority } from '@flamingocourse/gateway';

/** Prompt tokens that an engine reads in a millisecond. */
const TOKENS_PER_MS = 38;

/** Mean wait in milliseconds of prompts that come together and are read by priority, then in order. */
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

// a duty pilot's question waits most of a second behind a season digest of 30,000 tokens: prompts
// that come in the same moment are read in the order in which they came.
describe('a digest of many pages before short questions', () => {
  const together = [30_000, 9_000, 500, 2_000, 700, 600];
  const byPriority = meanWaitMs(together, (prompt) => enginePriority({ prompt, most: 80 }));
  const inOrder = meanWaitMs(together, () => 5);

  test('delays them far less when the shortest is read first', () => {
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
