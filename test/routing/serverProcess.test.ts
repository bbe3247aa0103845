import type { ProcessVerdict } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MAX_ENTRY_DELAY_MS, judgeProcess } from '@flamingocourse/core';

interface Case {
  name: string;
  /** Start in the entry of the server. */
  listed: number | undefined;
  /** Start that the process named. */
  bornAt: number | undefined;
  /** Milliseconds from the opening of the connection until the list was last confirmed. */
  confirmedAfterMs: number;
  verdict: ProcessVerdict;
}

const cases: Case[] = [
  {
    name: 'a server whose id identifies its process',
    listed: undefined,
    bornAt: undefined,
    confirmedAfterMs: 0,
    verdict: 'listed',
  },
  {
    name: 'a process that names the start of the entry',
    listed: 7,
    bornAt: 7,
    confirmedAfterMs: -10_000,
    verdict: 'listed',
  },
  {
    name: 'a later process, however old the connection',
    listed: 7,
    bornAt: 8,
    confirmedAfterMs: 60_000,
    verdict: 'other',
  },
  {
    name: 'an earlier process',
    listed: 8,
    bornAt: 7,
    confirmedAfterMs: 60_000,
    verdict: 'other',
  },
  {
    name: 'a process that names no start, on a new connection',
    listed: 7,
    bornAt: undefined,
    confirmedAfterMs: 0,
    verdict: 'unclear',
  },
  {
    name: 'a process that names no start, while a new entry may be on its way',
    listed: 7,
    bornAt: undefined,
    confirmedAfterMs: MAX_ENTRY_DELAY_MS,
    verdict: 'unclear',
  },
  {
    name: 'a process that names no start, when its entry was confirmed after that',
    listed: 7,
    bornAt: undefined,
    confirmedAfterMs: MAX_ENTRY_DELAY_MS + 1,
    verdict: 'listed',
  },
];

// Guards against taking the version of an entry for that of the process which answers.
describe('the process behind a connection', () => {
  for (const { name, listed, bornAt, confirmedAfterMs, verdict } of cases) {
    test(`${name}: ${verdict}`, () => {
      const known = { bornAt, connectedAt: 1_000 };
      assert.equal(judgeProcess({ bornAt: listed }, known, 1_000 + confirmedAfterMs), verdict);
    });
  }
});
