import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { USED_INSTANCE } from '../platform/fakeServer.js';
import { EVACUATION_APPLY_MS, brokenEvacuations } from './soakEvacuations.js';

const FROM = 10_000;
const UNTIL = 14_000;
const DUE = FROM + EVACUATION_APPLY_MS;

describe('a request to an evacuated data centre', () => {
  const cases: { name: string; at: number; server?: string; calm?: boolean; broken: number }[] = [
    { name: 'before it must take effect is allowed', at: DUE - 1, broken: 0 },
    { name: 'after that is not', at: DUE + 1, broken: 1 },
    { name: 'after its end is allowed', at: UNTIL + 1, broken: 0 },
    { name: 'of a disturbed instance is allowed', at: DUE + 1, calm: false, broken: 0 },
    { name: 'for another server does not count', at: DUE + 1, server: 'p1', broken: 0 },
  ];
  for (const { name, at, server = 'p2', calm = true, broken } of cases) {
    test(name, () => {
      const headers = { [USED_INSTANCE]: 'edge-1', 'x-expect-instance': server };
      const windows = [{ from: FROM, until: UNTIL }];
      const lines = brokenEvacuations([{ headers, at }], windows, 'p2', () => calm);
      assert.equal(lines.length, broken);
    });
  }
});
