import type { LoadReading } from '@flamingocourse/gateway';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { createPlatformDialects } from '@flamingocourse/platform-adapter';

const { servers } = createPlatformDialects();

function read(values: readonly string[]): LoadReading {
  const rawHeaders = values.flatMap((value) => ['X-Server-Load', value]);
  const headers = values.length === 0 ? {} : { 'x-server-load': values.join(', ') };
  return servers.load({ status: 200, headers, rawHeaders });
}

function load(running: number, waiting: number, more: object = {}): LoadReading {
  return { type: 'load', load: { running, waiting, ...more } };
}

// Guards against servers that are chosen blindly because one figure of their report is new or spoilt.
describe('the load header', () => {
  const complete: { header: string; expected: LoadReading }[] = [
    { header: '3,1,6', expected: load(3, 1, { slots: 6 }) },
    { header: '3,1,6,100', expected: load(3, 1, { slots: 6, slowdown: 1 }) },
    { header: '0,0,6,250', expected: load(0, 0, { slots: 6, slowdown: 2.5 }) },
    { header: ' 3 , 1 ,6, 62.5 ', expected: load(3, 1, { slots: 6, slowdown: 0.625 }) },
    { header: '3,1,6,10', expected: load(3, 1, { slots: 6, slowdown: 0.1 }) },
    { header: '3,1,6,10000', expected: load(3, 1, { slots: 6, slowdown: 100 }) },
  ];
  for (const { header, expected } of complete) {
    test(`"${header}" is used as a whole`, () => {
      assert.deepEqual(read([header]), expected);
    });
  }

  const partial: { header: string; expected: object }[] = [
    { header: '3,1', expected: {} },
    { header: '3,1,', expected: {} },
    { header: '3,1,-6', expected: {} },
    { header: '3,1,0', expected: {} },
    { header: '3,1,many,250', expected: { slowdown: 2.5 } },
    { header: '3,1,,250', expected: { slowdown: 2.5 } },
    { header: '3,1,6,', expected: { slots: 6 } },
    { header: '3,1,6,0', expected: { slots: 6 } },
    { header: '3,1,6,9', expected: { slots: 6 } },
    { header: '3,1,6,-250', expected: { slots: 6 } },
    { header: '3,1,6,10001', expected: { slots: 6 } },
    { header: '3,1,6,1000000000', expected: { slots: 6 } },
    { header: '3,1,6,1e2', expected: { slots: 6 } },
    { header: '3,1,6,0x64', expected: { slots: 6 } },
    { header: '3,1,6,NaN', expected: { slots: 6 } },
    { header: '3,1,6,Infinity', expected: { slots: 6 } },
    { header: '3,1,6,slow', expected: { slots: 6 } },
    { header: '3,1,6,250,7', expected: { slots: 6, slowdown: 2.5 } },
  ];
  for (const { header, expected } of partial) {
    test(`"${header}" is used where it can be read`, () => {
      assert.deepEqual(read([header]), { ...load(3, 1, expected), ignored: header });
    });
  }

  const invalid = [
    '',
    ',',
    '3',
    '-3,1,6',
    '3,-1,6,250',
    'busy',
    'a,b,c,d',
    ',1,6',
    '3,,6,250',
    '3;1;6',
  ];
  for (const header of [...invalid, '3.5,1,6', '1000000000,1,6', '3,1e3,6']) {
    test(`"${header}" is not used`, () => {
      assert.deepEqual(read([header]), { type: 'invalid', text: header });
    });
  }

  test('none', () => {
    assert.deepEqual(read([]), { type: 'none' });
  });

  // Guards against a slowdown that is the number of running requests in a second report.
  test('two headers are not used', () => {
    assert.deepEqual(read(['3,1,6', '50,0,6']), { type: 'invalid', text: '3,1,6, 50,0,6' });
  });

  // Guards against a log that a server fills with the text of a header.
  test('the logged text is bounded', () => {
    const text = 'x'.repeat(40);
    assert.deepEqual(read(['x'.repeat(500)]), { type: 'invalid', text });
    assert.deepEqual(read([`3,1,6,${text}`]), {
      ...load(3, 1, { slots: 6 }),
      ignored: `3,1,6,${text}`.slice(0, 40),
    });
  });
});
