import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import type { Declaration, JournalState, LedgerPage } from '@flamingocourse/core';
import {
  createDemoReport,
  declaredLoad,
  findViolations,
  computeSpend,
  renderReport,
  renderText,
  type DemoResult,
} from '@flamingocourse/lab';

const figures: Omit<DemoResult, 'violations' | 'report'> = {
  deployment: 'svifvakt',
  load: {
    seed: 1,
    seconds: 1,
    requests: 2,
    whole: 1,
    cut: 0,
    mixed: 0,
    broken: 0,
    unanswered: 0,
    hungUp: 0,
    notStarted: 0,
    retries: 0,
    refusals: { overloaded: 1 },
    classes: {
      'launch-entries': {
        requests: 2,
        whole: 1,
        refused: 1,
        firstTokenMs: { count: 1, p50: 11, p95: 12, p99: 13 },
        fullMs: { count: 1, p50: 21, p95: 22, p99: 23 },
      },
    },
    accounts: { 'club-<a>': { requests: 2, whole: 1, refused: 1, tokens: 90 } },
    entries: {},
    faults: [],
  },
  spend: [{ account: 'club-<a>', limit: 100, spent: 90, committed: 100, over: false }],
  entries: { doubled: [], lost: [], falselyNotRun: [] },
};

// Guards against a demo that succeeds although an answer was cut or a budget was exceeded.
const violationCases: { name: string; change: Partial<typeof figures>; found: RegExp | null }[] = [
  { name: 'a clean run', change: {}, found: null },
  { name: 'a cut answer', change: { load: { ...figures.load, cut: 1 } }, found: /complete/ },
  { name: 'a mixed answer', change: { load: { ...figures.load, mixed: 1 } }, found: /own/ },
  { name: 'a broken stream', change: { load: { ...figures.load, broken: 1 } }, found: /broke off/ },
  {
    name: 'a doubled entry',
    change: { entries: { ...figures.entries, doubled: ['k'] } },
    found: /more than once/,
  },
  {
    name: 'an account over its budget',
    change: { spend: figures.spend.map((row) => ({ ...row, over: true })) },
    found: /budget/,
  },
  {
    name: 'an answer without a bill',
    change: { spend: figures.spend.map((row) => ({ ...row, spent: 89 })) },
    found: /billed less/,
  },
];
for (const { name, change, found } of violationCases) {
  test(`${name} ${found ? 'is' : 'has'} ${found ? 'a violation' : 'none'}`, () => {
    const violations = findViolations({ ...figures, ...change });
    assert.equal(violations.length, found ? 1 : 0);
    if (found) assert.match(violations.join(), found);
  });
}

const spendCases = [
  { name: 'within budget', spent: 60, grantedIn: 100, over: false },
  { name: 'with spending above the budget', spent: 101, grantedIn: 100, over: true },
  { name: 'with grants above the budget', spent: 0, grantedIn: 101, over: true },
];
for (const { name, spent, grantedIn, over } of spendCases) {
  test(`an account ${name} is ${over ? 'over' : 'not over'}`, () => {
    const share = { grantedIn, returnedOut: 0, spent: 0 };
    const account = { limit: 100, pendingReduction: 0, shares: { 'dc-a': share }, changes: [] };
    const ledger: LedgerPage = { page: 0, accounts: { shop: account } };
    const journal = { accounts: { shop: { grantedIn, returnedOut: 0, spent } } };
    const [row] = computeSpend([ledger], [journal as unknown as JournalState]);
    assert.deepEqual(row, { account: 'shop', limit: 100, spent, committed: grantedIn, over });
  });
}

test('the load follows the declared classes and accounts', () => {
  const service = { kind: 'Service', models: ['deel-7b'], instances: [] };
  const workClass = { kind: 'WorkClass', importance: 'standard', maxOutputTokens: 40 };
  const declarations = [
    { ...service, name: 'llm', type: 'model' },
    { ...service, name: 'ledger', type: 'plain', models: [] },
    { ...workClass, name: 'drafts', service: 'llm', idempotent: true },
    { ...workClass, name: 'stock', service: 'ledger', idempotent: true },
    { ...workClass, name: 'reservations', service: 'ledger', idempotent: false },
    { kind: 'ClientAccount', name: 'ger-shop', openingTokens: 5 },
  ] as unknown as Declaration[];
  const { accounts, mix } = declaredLoad(declarations);
  assert.deepEqual(accounts, [{ name: 'ger-shop', apiKey: 'demo-ger-shop', weight: 5 }]);
  assert.deepEqual(
    mix.map((item) => `${item.workClass} ${item.type} ${item.naming}`),
    [
      'drafts chat key',
      'stock read none',
      'reservations read none',
      'reservations entry key',
      'reservations entry ticket',
    ],
  );
});

test('the report is one page with charts, and names are escaped', async (t) => {
  const directory = await mkdtemp(join(tmpdir(), 'lab-report-'));
  t.after(() => rm(directory, { recursive: true }));
  const file = join(directory, 'demo.json');
  const report = createDemoReport(figures);
  await writeFile(file, JSON.stringify({ ...figures, violations: [], report }));
  const html = await renderReport([file]);
  assert.equal(html.match(/<svg/g)?.length, 3);
  assert.match(html, /club-&lt;a&gt;/);
  assert.doesNotMatch(html, /<script|src=|href=/);
  assert.match(renderText(report), /launch-entries.*11.*12.*13.*21.*22.*23/);
  await writeFile(file, '{}');
  await assert.rejects(renderReport([file]), /make it with --json/);
});
