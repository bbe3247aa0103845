import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { SharedReads } from '@flamingocourse/kernel';

/** Reads that end when the test says so; each returns its number. */
function startReads(): { reads: SharedReads<number>; begun: () => number; end: () => void } {
  const open: (() => void)[] = [];
  let count = 0;
  const reads = new SharedReads(() => {
    count += 1;
    const value = count;
    return new Promise<number>((resolve) => {
      open.push(() => {
        resolve(value);
      });
    });
  });
  return { reads, begun: () => count, end: () => open.shift()?.() };
}

// Guards against a caller that gets what was read before it asked.
describe('a shared read', () => {
  test('begins at once if none is running', async () => {
    const { reads, end } = startReads();
    const first = reads.read();
    end();
    assert.equal(await first, 1);
  });

  test('begins after the call, once for all that ask during a read', async () => {
    const { reads, begun, end } = startReads();
    const first = reads.read();
    const later = [reads.read(), reads.read()];
    assert.equal(begun(), 1);
    end();
    assert.equal(await first, 1);
    await new Promise((resolve) => setImmediate(resolve));
    end();
    assert.deepEqual(await Promise.all(later), [2, 2]);
    assert.equal(begun(), 2);
  });

  test('begins anew after all have ended', async () => {
    const { reads, end } = startReads();
    const first = reads.read();
    end();
    await first;
    const second = reads.read();
    end();
    assert.equal(await second, 2);
  });
});
