import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ResponseFilter } from '../../packages/gateway/src/runtime/responseFilter.js';

/** A response to a request; `ID` in the head stands for the field with its id. */
function response(id: string, fields: string, body: string, status = 200): string {
  return `HTTP/1.1 ${String(status)} X\r\nX-Request-Id: ${id}\r\n${fields}\r\n${body}`;
}

const OWN = response('own', 'Content-Length: 2\r\n', 'ok');
const FOREIGN = response('other', 'Content-Length: 5\r\n', 'first');
const CHUNKS = response(
  'other',
  'Transfer-Encoding: chunked\r\n',
  '3;a=b\r\nabc\r\n0\r\nT: 1\r\n\r\n',
);
const NO_BODY = response('other', 'Content-Length: 0\r\n', '', 503);
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n';

function create(): { filter: ResponseFilter; skipped: () => number } {
  const filter = new ResponseFilter();
  let skipped = 0;
  expectOwn(filter, () => (skipped += 1));
  return { filter, skipped: () => skipped };
}

function expectOwn(filter: ResponseFilter, onSkip: () => void = () => undefined): void {
  const isForeign = ({ headers }: { headers: ReadonlyMap<string, string> }): boolean => {
    const id = headers.get('x-request-id');
    return id !== undefined && id !== 'own';
  };
  filter.expect({ isForeign, onSkip });
}

/** What a filter lets through of parts, or `closed`. */
function read(filter: ResponseFilter, parts: readonly string[]): string {
  let text = '';
  for (const part of parts) {
    const passed = filter.filter(Buffer.from(part, 'latin1'));
    if (passed instanceof Error) return 'closed';
    text += passed.toString('latin1');
  }
  return text;
}

/** All ways to receive a text: whole, in single bytes, and in two parts that are split at any byte. */
function waysToReceive(text: string): string[][] {
  const halves = Array.from(text, (_, at) => [text.slice(0, at), text.slice(at)]);
  return [[text], text.split(''), ...halves];
}

interface Case {
  name: string;
  received: string;
  passed: string;
  skipped: number;
}

const cases: Case[] = [
  { name: 'the own response', received: OWN, passed: OWN, skipped: 0 },
  { name: 'a foreign one with a length', received: FOREIGN + OWN, passed: OWN, skipped: 1 },
  { name: 'a foreign one in chunks', received: CHUNKS + OWN, passed: OWN, skipped: 1 },
  { name: 'a foreign one without a body', received: NO_BODY + OWN, passed: OWN, skipped: 1 },
  { name: 'several foreign ones', received: CHUNKS + FOREIGN + OWN, passed: OWN, skipped: 2 },
  {
    name: 'interim responses',
    received: INTERIM + FOREIGN + INTERIM + OWN,
    passed: INTERIM + INTERIM + OWN,
    skipped: 1,
  },
  { name: 'the own response twice', received: OWN + OWN, passed: OWN + OWN, skipped: 0 },
  {
    name: 'a foreign one after the own',
    received: OWN + FOREIGN,
    passed: OWN + FOREIGN,
    skipped: 0,
  },
  // whoever reads these judges them, as without a filter.
  ...(
    [
      ['without a length', response('other', '', 'text')],
      [
        'with two lengths',
        response('other', 'Content-Length: 5\r\nContent-Length: 4\r\n', 'first'),
      ],
      ['with a signed length', response('other', 'Content-Length: +5\r\n', 'first')],
      [
        'with a length and chunks',
        response('other', 'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n', '0\r\n\r\n'),
      ],
      ['with a folded field', response('other', 'A: b\r\n c\r\nContent-Length: 5\r\n', 'first')],
      ['of a status that has no body', response('other', 'Content-Length: 5\r\n', '', 304)],
      ['without an id', 'HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n'],
      ['that is no HTTP', 'nothing known\r\n\r\n'],
      ['that began earlier', FOREIGN.slice(20)],
    ] as const
  ).map(([name, bytes]) => ({
    name: `a foreign one ${name}`,
    received: bytes + OWN,
    passed: bytes + OWN,
    skipped: 0,
  })),
];

// Guards against a request that fails because a duplicate of an earlier response came first, and against
// bytes that are lost, added or attributed to another response, however they are split.
describe('a response filter skips only complete responses that name another request', () => {
  for (const { name, received, passed, skipped } of cases) {
    test(name, () => {
      for (const parts of waysToReceive(received)) {
        const world = create();
        assert.equal(read(world.filter, parts), passed, `in ${String(parts.length)} parts`);
        assert.equal(world.skipped(), skipped);
      }
    });
  }
});

// Guards against the rest of an own response that is read as a whole one, after a skipped response that was
// truncated took its beginning.
describe('after a truncated foreign response, nothing of the own one is let through', () => {
  for (const foreign of [FOREIGN, CHUNKS]) {
    const bodyAt = foreign.indexOf('\r\n\r\n') + 4;
    for (let cut = bodyAt; cut < foreign.length; cut += 1) {
      test(`${JSON.stringify(foreign.slice(bodyAt, cut))} of its body`, () => {
        for (const parts of waysToReceive(foreign.slice(0, cut) + OWN)) {
          const text = read(create().filter, parts);
          assert.ok(text === 'closed' || text === '', text);
        }
      });
    }
  }
});

// Guards against a response that is read with the status of another one, which broke off in its head.
describe('after a response that broke off in its head, nothing is let through of the own one', () => {
  const heads = [
    'HTTP/1.1 200 ',
    'HTTP/1.1 200 O',
    'HTTP/1.1 200 OK\r\nA:',
    'HTTP/1.0 200 OK\r\nA: b',
  ];
  for (const head of heads) {
    test(JSON.stringify(head), () => {
      for (const before of ['', FOREIGN, INTERIM]) {
        for (const parts of waysToReceive(before + head + OWN)) {
          assert.equal(read(create().filter, parts), 'closed');
        }
      }
    });
  }
});

// Guards against a truncated body that is read as whole, because the response after it fills the rest.
describe('after a response that broke off in its body, the next one closes the connection', () => {
  const body = response('own', 'Content-Length: 300\r\n', 'x'.repeat(40));
  const cases = [
    { name: 'with a length', parts: [body, OWN], passed: 'closed' },
    {
      name: 'while its head is still to come',
      parts: [body, 'HTTP/1.1 200 OK\r\n'],
      passed: 'closed',
    },
    {
      name: 'but not without a length',
      parts: [response('own', '', 'x'), OWN],
      passed: response('own', '', 'x') + OWN,
    },
    { name: 'but not after a whole one', parts: [OWN, FOREIGN], passed: OWN + FOREIGN },
    {
      name: 'but not another text',
      parts: [body, 'HTTP/1.1 is old'],
      passed: `${body}HTTP/1.1 is old`,
    },
  ];
  for (const { name, parts, passed } of cases) {
    test(name, () => {
      assert.equal(read(create().filter, parts), passed);
    });
  }
});

describe('a filter for several requests on a connection', () => {
  test('skips in front of each response', () => {
    const { filter } = create();
    assert.equal(read(filter, [FOREIGN, OWN]), OWN);
    expectOwn(filter);
    assert.equal(read(filter, [CHUNKS, OWN]), OWN);
  });

  test('skips nothing where the end of responses is not certain', () => {
    const { filter } = create();
    filter.skipNone();
    expectOwn(filter);
    assert.equal(read(filter, [FOREIGN, OWN]), FOREIGN + OWN);
  });
});
