/** Guards against accounts that are limited because an instance is slow while servers have room. */

import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { isServerFull } from '../../packages/gateway/src/runtime/isServerFull.js';

describe('a server is full', () => {
  const cases = [
    {
      name: 'if requests wait there',
      load: { running: 2, waiting: 1, slots: 6 },
      slots: 6,
      full: true,
    },
    {
      name: 'if all of its slots are used',
      load: { running: 6, waiting: 0, slots: 6 },
      slots: 8,
      full: true,
    },
    {
      name: 'by its listed slots if it tells none',
      load: { running: 6, waiting: 0 },
      slots: 6,
      full: true,
    },
    {
      name: 'not while it has a free slot',
      load: { running: 5, waiting: 0, slots: 6 },
      slots: 6,
      full: false,
    },
    { name: 'not known without a report', load: undefined, slots: 6, full: undefined },
    {
      name: 'not known without slots',
      load: { running: 5, waiting: 0 },
      slots: undefined,
      full: undefined,
    },
  ];
  for (const { name, load, slots, full } of cases) {
    test(name, () => {
      assert.equal(isServerFull(load, slots), full);
    });
  }
});
