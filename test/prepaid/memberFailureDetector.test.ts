import type { PrepaidPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MemberFailureDetector, createPrepaidPage } from '@flamingocourse/core';

const SILENT_MS = 600_000;

function pageAt(reports: Record<string, number>): PrepaidPage {
  const writers = Object.entries(reports).map(([name, seq]) => {
    return [name, { incarnation: `${name}-1`, seq }] as const;
  });
  return { ...createPrepaidPage(), writers: Object.fromEntries(writers) };
}

// Guards against tokens that stay with a machine that was removed without a clean shutdown: only
// the missing reports show that it is gone.
describe('MemberFailureDetector.silent returns', () => {
  const reads = [
    { name: 'no instance at the first read', at: [0], seqs: [1], lost: [] },
    { name: 'no instance with a new report', at: [0, 600_000], seqs: [1, 2], lost: [] },
    { name: 'no instance before the timeout', at: [0, 599_999], seqs: [1, 1], lost: [] },
    { name: 'an instance without a new report', at: [0, 600_000], seqs: [1, 1], lost: ['a'] },
    {
      name: 'no instance whose last report was seen at a later read',
      at: [0, 300_000, 899_999],
      seqs: [1, 2, 2],
      lost: [],
    },
  ];
  for (const { name, at, seqs, lost } of reads) {
    test(name, () => {
      const watch = new MemberFailureDetector(SILENT_MS);
      const seen = at.map((now, read) => watch.silent(['a'], pageAt({ a: seqs[read] ?? 0 }), now));
      assert.deepEqual(seen.at(-1), lost);
    });
  }

  test('a member that never reported, and an instance that only the page lists', () => {
    const watch = new MemberFailureDetector(SILENT_MS);
    watch.silent(['a'], pageAt({ b: 1 }), 0);
    assert.deepEqual(watch.silent(['a'], pageAt({ b: 1 }), SILENT_MS), ['a', 'b']);
  });

  test('no instance with a report of a new process', () => {
    const watch = new MemberFailureDetector(SILENT_MS);
    watch.silent([], { ...pageAt({}), writers: { a: { incarnation: 'a-1', seq: 1 } } }, 0);
    const next = { ...pageAt({}), writers: { a: { incarnation: 'a-2', seq: 1 } } };
    assert.deepEqual(watch.silent([], next, SILENT_MS), []);
  });
});
