import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { LineBatch } from '../../packages/kernel/src/node/lineBatch.js';

const LONG_LINE = 'x'.repeat(16 * 1024);
/** Milliseconds within which lines are written, with time for a slow machine. */
const SOON_MS = 400;

describe('log lines', () => {
  const cases: { name: string; play: (batch: LineBatch) => void; at: string[]; later: string[] }[] =
    [
      {
        name: 'are written together, soon',
        play: (batch) => {
          batch.add('a\n');
          batch.add('b\n');
        },
        at: [],
        later: ['a\nb\n'],
      },
      // Guards against the loss of an error's line when the process ends right after it.
      {
        name: 'are written at once if asked for, and once only',
        play: (batch) => {
          batch.add('a\n');
          batch.flush();
          batch.flush();
        },
        at: ['a\n'],
        later: ['a\n'],
      },
      // Guards against lines that pile up in memory.
      {
        name: 'do not wait once there are many',
        play: (batch) => {
          batch.add('a\n');
          batch.add(LONG_LINE);
        },
        at: [`a\n${LONG_LINE}`],
        later: [`a\n${LONG_LINE}`],
      },
    ];
  for (const { name, play, at, later } of cases) {
    test(name, async () => {
      const written: string[] = [];
      play(new LineBatch((lines) => written.push(lines)));
      assert.deepEqual(written, at);
      await delay(SOON_MS);
      assert.deepEqual(written, later);
    });
  }
});
