import type {
  ProbeResult,
  ReportedBrittleness,
  ReportedRateLimit,
  RequestedPause,
} from '@flamingocourse/core';
import type { CallHead } from '@flamingocourse/gateway';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { createPlatformDialects } from '@flamingocourse/platform-adapter';

const { servers } = createPlatformDialects();

const details = {
  serverId: 's1',
  leftMs: 900,
  account: 'kirk',
  priority: undefined,
  resumeAfter: undefined,
  copyFrom: undefined,
  bodyBytes: 0,
};

function callHead(rawHeaders: string[]): CallHead {
  return {
    id: 'r1',
    host: 'shop.example',
    method: 'POST',
    target: '/chat/1',
    path: '/chat/1',
    key: undefined,
    waitMs: undefined,
    size: undefined,
    promptParts: [],
    resumes: undefined,
    resumeAfter: undefined,
    headers: {},
    rawHeaders,
  };
}

/** Names, in lower case, of the headers that are forwarded for a request with these headers. */
function forwardedHeaders(raw: string[]): string[] {
  const headers = servers.attemptHeaders(callHead(raw), details);
  return headers.filter((_, at) => at % 2 === 0).map((name) => name.toLowerCase());
}

// Guards against a caller that sends control headers to occupy the slots or memory of a server, or to make it
// copy a prompt from the memory of another server.
describe('a control header for servers in a request of a caller is not forwarded', () => {
  const cases = [
    { name: 'X-Hold', value: 'h-1' },
    { name: 'x-hold', value: '' },
    { name: 'X-HOLD', value: '\u00ff' },
    { name: 'X-Hold-Ms', value: '2000' },
    { name: 'X-Pin-Ms', value: '4000' },
    { name: 'x-pin-until', value: 'never' },
    { name: 'X-Kv-Backup', value: '10.128.0.9:8080' },
    { name: 'X-Kv-Restore', value: '1' },
    { name: 'Kv-From', value: '10.128.0.9:8080/17' },
    { name: 'kv-fetch', value: '10.128.0.9:8080' },
    { name: 'KV-Later', value: '1' },
    { name: 'X-Expect-Version', value: '9' },
    { name: 'X-Expect-Instance', value: 'other' },
    { name: 'X-Tenant', value: 'spock' },
    { name: 'X-Request-Priority', value: '0' },
    { name: 'Authorization', value: 'Token k' },
  ];
  for (const { name, value } of cases) {
    test(`${name}: ${value}`, () => {
      const passed = forwardedHeaders(['Accept', '*/*', name, value, name, value]);
      const own = ['x-expect-instance', 'x-tenant'].includes(name.toLowerCase()) ? 1 : 0;
      assert.equal(passed.filter((other) => other === name.toLowerCase()).length, own);
      assert.ok(passed.includes('accept'));
    });
  }
});

describe('only the gateway tells a server where to copy the prompt from', () => {
  for (const copyFrom of [undefined, '10.128.0.9:8080']) {
    test(copyFrom ?? 'nowhere', () => {
      const head = callHead(['Kv-Fetch', '10.9.9.9:1']);
      const headers = servers.attemptHeaders(head, { ...details, copyFrom });
      const values = headers.filter((_, at) => headers[at - 1]?.toLowerCase() === 'kv-fetch');
      assert.deepEqual(values, copyFrom === undefined ? [] : [copyFrom]);
    });
  }
});

describe('a header that describes the request itself is forwarded', () => {
  const cases = ['X-Model', 'X-Token-Usage', 'X-Prompt-Prefix', 'X-Length-Hint', 'X-Request-Id'];
  for (const name of cases) {
    test(name, () => {
      assert.ok(forwardedHeaders([name, 'value']).includes(name.toLowerCase()));
    });
  }
});

describe('the rate limit in an answer', () => {
  const cases: readonly { header: string | string[] | undefined; expected: ReportedRateLimit }[] = [
    { header: undefined, expected: { type: 'none' } },
    { header: '1.8', expected: { type: 'limit', perSecond: 1.8 } },
    { header: ' 12 ', expected: { type: 'limit', perSecond: 12 } },
    { header: '0.05', expected: { type: 'limit', perSecond: 0.05 } },
    ...[
      '',
      '0',
      '0.0',
      '-2',
      'NaN',
      'Infinity',
      '1e3',
      '0x10',
      '1,5',
      '1.8, 1.8',
      '.',
      '12345678',
    ].map((header) => ({ header, expected: { type: 'invalid' as const, text: header } })),
    { header: ['1.8', '2.0'], expected: { type: 'invalid', text: '1.8,2.0' } },
    { header: 'x'.repeat(500), expected: { type: 'invalid', text: 'x'.repeat(40) } },
  ];
  for (const { header, expected } of cases) {
    test(`${String(header).slice(0, 30)}: ${expected.type}`, () => {
      const headers = header === undefined ? {} : { 'server-limit': header };
      assert.deepEqual(
        servers.notice({ status: 200, headers, rawHeaders: [] }).rateLimit,
        expected,
      );
    });
  }
});

describe('how many rejections a server survives by its answer', () => {
  // Guards against a server that is not protected because its header is not read, or is read wrongly.
  const cases: readonly { header: string | undefined; expected: ReportedBrittleness }[] = [
    { header: undefined, expected: { type: 'none' } },
    { header: '5', expected: { type: 'brittle', rejectionsPerSecond: 5 } },
    { header: ' 0 ', expected: { type: 'brittle', rejectionsPerSecond: 0 } },
    { header: '2.5', expected: { type: 'brittle', rejectionsPerSecond: 2.5 } },
    ...['', '-1', 'NaN', '1e3', '5, 6', 'yes', '12345678'].map((header) => ({
      header,
      expected: { type: 'invalid' as const, text: header },
    })),
  ];
  for (const { header, expected } of cases) {
    for (const status of [200, 500, 503]) {
      test(`${String(header)} with status ${String(status)}: ${expected.type}`, () => {
        const headers = header === undefined ? {} : { 'server-brittle': header };
        assert.deepEqual(servers.notice({ status, headers, rawHeaders: [] }).brittle, expected);
      });
    }
  }
});

describe('a rejection for want of room', () => {
  // Guards against rejections that are not counted, and failures that are counted as rejections.
  const cases = [
    { status: 503, headers: { 'x-not-executed': '1' }, rejected: true },
    { status: 503, headers: {}, rejected: false },
    { status: 421, headers: { 'x-not-executed': '1' }, rejected: false },
    { status: 200, headers: {}, rejected: false },
  ];
  for (const { status, headers, rejected } of cases) {
    test(`${String(status)}, ${JSON.stringify(headers)}: ${String(rejected)}`, () => {
      assert.equal(servers.notice({ status, headers, rawHeaders: [] }).rejected, rejected);
    });
  }
});

describe('the pause that an answer asks for', () => {
  const cases: readonly { name: string; status?: number; texts: string[]; rest: RequestedPause }[] =
    [
      { name: 'none', texts: [], rest: { type: 'none' } },
      { name: 'whole seconds', texts: ['3'], rest: { type: 'rest', ms: 3_000 } },
      { name: 'a fraction', texts: ['0.25'], rest: { type: 'rest', ms: 250 } },
      { name: 'nothing', texts: ['0'], rest: { type: 'rest', ms: 0 } },
      { name: 'the longer of two', texts: ['1', '4'], rest: { type: 'rest', ms: 4_000 } },
      { name: 'with another status', status: 429, texts: ['3'], rest: { type: 'none' } },
      ...['', '-1', 'NaN', '1e3', 'Wed, 21 Oct 2026 07:28:00 GMT', '99999999999'].map((text) => {
        const rest: RequestedPause = { type: 'invalid', text };
        return { name: `no number of seconds: ${text}`, texts: [text], rest };
      }),
    ];
  for (const { name, status = 503, texts, rest } of cases) {
    test(name, () => {
      const rawHeaders = texts.flatMap((text) => ['Retry-After', text]);
      assert.deepEqual(servers.notice({ status, headers: {}, rawHeaders }).rest, rest);
    });
  }
});

test('a server can announce in any answer that it is leaving', () => {
  for (const status of [200, 500, 503]) {
    const headers = { 'server-leaving': '1' };
    assert.equal(servers.notice({ status, headers, rawHeaders: [] }).leaving, true);
    assert.equal(servers.notice({ status, headers: {}, rawHeaders: [] }).leaving, false);
  }
});

describe('the answer of a server to a health probe', () => {
  const cases: readonly {
    name: string;
    status: number;
    headers: Record<string, string>;
    expected: ProbeResult;
  }[] = [
    { name: 'is well', status: 200, headers: { 'x-instance-id': 's1' }, expected: 'staying' },
    { name: 'is leaving', status: 503, headers: { 'x-instance-id': 's1' }, expected: 'leaving' },
    { name: 'is leaving, without a name', status: 503, headers: {}, expected: 'leaving' },
    {
      name: 'is too full to answer',
      status: 503,
      headers: { 'x-not-executed': '1', 'x-instance-id': 's1' },
      expected: 'unknown',
    },
    {
      name: 'is another server',
      status: 200,
      headers: { 'x-instance-id': 's2' },
      expected: 'gone',
    },
    {
      name: 'is another server and leaving',
      status: 503,
      headers: { 'x-instance-id': 's2' },
      expected: 'gone',
    },
    {
      name: 'rejects a probe that is meant for another server',
      status: 421,
      headers: { 'x-not-executed': '1' },
      expected: 'gone',
    },
    { name: 'does not name itself', status: 200, headers: {}, expected: 'unknown' },
    { name: 'fails', status: 500, headers: { 'x-instance-id': 's1' }, expected: 'unknown' },
  ];
  for (const { name, status, headers, expected } of cases) {
    test(`${expected}: it ${name}`, () => {
      assert.equal(servers.judgeHealth('s1', { status, headers, rawHeaders: [] }), expected);
    });
  }
});
