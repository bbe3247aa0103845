import type { PrepaidPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  applyReport,
  dropWriter,
  entryOf,
  hasEntry,
  remainingPrepaid,
  setEntry,
  tableSchema,
  viewOfPage,
  withoutEntry,
} from '@flamingocourse/core';
import fc from 'fast-check';
import { z } from 'zod';

/** Names under which every object inherits something. */
const INHERITED = ['constructor', '__proto__', 'toString', 'hasOwnProperty', 'valueOf'];

const anyName = fc.oneof(fc.constantFrom(...INHERITED), fc.string());

// Guards against finding what every object inherits, and against replacing the prototype of a table.
describe('a table of JSON', () => {
  test('holds what a map holds, under any name', () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(anyName, fc.integer())), anyName, (entries, asked) => {
        const table: Record<string, number> = {};
        for (const [name, value] of entries) setEntry(table, name, value);
        const map = new Map(entries);
        assert.equal(entryOf(table, asked), map.get(asked));
        assert.equal(hasEntry(table, asked), map.has(asked));
        const read = tableSchema(z.string(), z.number()).parse(JSON.parse(JSON.stringify(table)));
        assert.deepEqual(new Map(Object.entries(read)), new Map(Object.entries(table)));
        map.delete(asked);
        assert.equal(Object.keys(withoutEntry(read, asked)).length, map.size);
        assert.equal(hasEntry(withoutEntry(read, asked), asked), false);
      }),
    );
  });

  test('names the entry that its schema refuses', () => {
    const read = tableSchema(z.string(), z.number()).safeParse(JSON.parse('{"__proto__":"x"}'));
    assert.deepEqual(
      read.error?.issues.map(({ path }) => path),
      [['__proto__']],
    );
  });
});

// Guards against an account or an instance whose name is taken for a property of every object.
describe('a prepaid page', () => {
  for (const name of INHERITED) {
    test(`keeps the tokens of an account and an instance ${name}`, () => {
      const granted = { granted: 100, returned: 0, spent: 0, inDoubt: 0, shares: {} };
      const page: PrepaidPage = { accounts: { [name]: granted }, writers: {} };
      const entries = { [name]: { spent: 0, keeps: 0, wants: 40, rate: 1 } };
      const report = { instance: name, incarnation: 'a', seq: 1, entries, last: false };
      const outlook = new Map([
        [name, { elsewhere: 5, othersRate: 2, limitPart: 0, beyond: 0, groups: 1 }],
      ]);
      const view = viewOfPage(emptyPage(), outlook, { instance: name, incarnation: 'a' });
      assert.deepEqual(view.accounts.get(name), { remaining: 5, othersRate: 2 });
      assert.equal(view.isRegistered, false);
      const next = applyReport(page, report);
      assert.equal(entryOf(entryOf(next.accounts, name)?.shares, name)?.held, 40);
      const dropped = dropWriter(next, name);
      assert.equal(remainingPrepaid(entryOf(dropped.accounts, name)), 60);
      assert.equal(hasEntry(dropped.writers, name), false);
    });
  }
});

function emptyPage(): PrepaidPage {
  return { accounts: {}, writers: {} };
}
