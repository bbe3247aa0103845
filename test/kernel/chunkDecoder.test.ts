import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ChunkDecoder } from '@flamingocourse/kernel';

/** Maximum size of extensions and trailers in these tests, in bytes. */
const MAX_EXTRA = 64;

interface Decoded {
  body: string;
  rest: string;
  state: string;
}

/** Decodes a text that arrives in reads of a size. */
function decode(text: string, readBytes: number): Decoded {
  const decoder = new ChunkDecoder(MAX_EXTRA);
  const bytes = Buffer.from(text);
  let body = '';
  for (let at = 0; at < bytes.length; at += readBytes) {
    const read = bytes.subarray(at, at + readBytes);
    const { parts, used, state } = decoder.decode(read);
    body += Buffer.concat(parts).toString();
    if (state !== 'open') return { body, rest: bytes.subarray(at + used).toString(), state };
  }
  return { body, rest: '', state: 'open' };
}

const long = 'x'.repeat(10_000);
const cases: { name: string; text: string; decoded: Decoded }[] = [
  {
    name: 'one chunk',
    text: '2\r\nok\r\n0\r\n\r\n',
    decoded: { body: 'ok', rest: '', state: 'ended' },
  },
  {
    name: 'a large chunk between small ones',
    text: `1\r\na\r\n2710\r\n${long}\r\n1\r\nb\r\n0\r\n\r\n`,
    decoded: { body: `a${long}b`, rest: '', state: 'ended' },
  },
  {
    name: 'data that looks like the end of a body',
    text: '5\r\n0\r\n\r\n\r\n0\r\n\r\n',
    decoded: { body: '0\r\n\r\n', rest: '', state: 'ended' },
  },
  {
    name: 'extensions and trailers',
    text: '2;a=b\r\nok\r\n0;c\r\nx: y\r\n\r\n',
    decoded: { body: 'ok', rest: '', state: 'ended' },
  },
  {
    name: 'the next request behind the body',
    text: '1\r\na\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n',
    decoded: { body: 'a', rest: 'GET / HTTP/1.1\r\n\r\n', state: 'ended' },
  },
  {
    name: 'a body without its end',
    text: '2\r\no',
    decoded: { body: 'o', rest: '', state: 'open' },
  },
  {
    name: 'a size that is none',
    text: 'z\r\n',
    decoded: { body: '', rest: 'z\r\n', state: 'invalid' },
  },
  { name: 'an empty size', text: '\r\n', decoded: { body: '', rest: '\r\n', state: 'invalid' } },
  {
    name: 'data longer than its size',
    text: '1\r\nab\r\n',
    decoded: { body: 'a', rest: 'b\r\n', state: 'invalid' },
  },
  {
    name: 'a line that ends with LF alone',
    text: '1\na',
    decoded: { body: '', rest: '\na', state: 'invalid' },
  },
  {
    name: 'a size without end',
    text: '1'.repeat(40),
    decoded: { body: '', rest: '1'.repeat(28), state: 'invalid' },
  },
];

describe('a chunked body is decoded', () => {
  for (const { name, text, decoded } of cases) {
    for (const readBytes of [1, 3, 65_536]) {
      test(`${name}, in reads of ${String(readBytes)} bytes`, () => {
        assert.deepEqual(decode(text, readBytes), decoded);
      });
    }
  }
});

// Guards against a process that keeps trailers or extensions without end.
describe('a chunked body is invalid', () => {
  const endless = [
    { name: 'extensions', text: `1;${'a'.repeat(100)}` },
    { name: 'trailers', text: `0\r\n${'a: b\r\n'.repeat(30)}` },
  ];
  for (const { name, text } of endless) {
    test(`whose ${name} exceed the limit`, () => {
      assert.equal(decode(text, 7).state, 'invalid');
    });
  }
});
