import type { PrepaidPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MemberWatch, createPrepaidPage } from '@flamingocourse/core';

const SILENT_MS = 600_000;

function pageAt(reports: Record<string, number>): PrepaidPage {
  const writers = Object.entries(reports).map(([name, seq]) => {
    return [name, { incarnation: `${name}-1`, seq }] as const;
  });
  return { ...createPrepaidPage(), writers: Object.fromEntries(writers) };
}

// a machine was removed without a stop. Nobody tells the fleet; its silence has to.
describe('of the members of a group are lost', () => {
  const looks = [
    { name: 'none at the first look', at: [0], seqs: [1], lost: [] },
    { name: 'none that reports', at: [0, 600_000], seqs: [1, 2], lost: [] },
    { name: 'none before the time is over', at: [0, 599_999], seqs: [1, 1], lost: [] },
    { name: 'those that were silent all the while', at: [0, 600_000], seqs: [1, 1], lost: ['a'] },
    {
      name: 'none whose silence began at a later look',
      at: [0, 300_000, 899_999],
      seqs: [1, 2, 2],
      lost: [],
    },
  ];
  for (const { name, at, seqs, lost } of looks) {
    test(name, () => {
      const watch = new MemberWatch(SILENT_MS);
      const seen = at.map((now, look) => watch.silent(['a'], pageAt({ a: seqs[look] ?? 0 }), now));
      assert.deepEqual(seen.at(-1), lost);
    });
  }

  test('also one that joined and never reported, and one that only the page knows', () => {
    const watch = new MemberWatch(SILENT_MS);
    watch.silent(['a'], pageAt({ b: 1 }), 0);
    assert.deepEqual(watch.silent(['a'], pageAt({ b: 1 }), SILENT_MS), ['a', 'b']);
  });

  test('none whose name a new process has taken', () => {
    const watch = new MemberWatch(SILENT_MS);
    watch.silent([], { ...pageAt({}), writers: { a: { incarnation: 'a-1', seq: 1 } } }, 0);
    const next = { ...pageAt({}), writers: { a: { incarnation: 'a-2', seq: 1 } } };
    assert.deepEqual(watch.silent([], next, SILENT_MS), []);
  });
});
