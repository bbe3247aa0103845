import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { runDemo } from '@flamingocourse/lab';

const naiveRouter = fileURLToPath(new URL('./fixtures/naiveRouter.mjs', import.meta.url));

const declarations = [
  { kind: 'Service', name: 'deel-llm', type: 'model', models: ['deel-7b'] },
  { kind: 'Service', name: 'shop-ledger', type: 'plain', models: [] },
  { kind: 'WorkClass', name: 'drafts', service: 'deel-llm', idempotent: true },
  { kind: 'WorkClass', name: 'reservations', service: 'shop-ledger', idempotent: false },
  { kind: 'ClientAccount', name: 'ger-shop', openingTokens: 500 },
].map((item) => ({ importance: 'standard', maxOutputTokens: 32, ...item }));

async function declare(platformUrl: string): Promise<void> {
  const post = async (collection: string, name: string, value: unknown): Promise<void> => {
    const url = `${platformUrl}/apis/flamingocourse.dev/v1/${collection}`;
    const body = JSON.stringify({ metadata: { name }, value });
    const res = await fetch(url, { method: 'POST', body });
    assert.equal(res.status, 201);
  };
  for (const item of declarations) await post('declarations', `${item.kind}.${item.name}`, item);
  const account = { limit: 500, pendingReduction: 0, shares: {}, changes: [] };
  await post('ledgers', '0', { page: 0, accounts: { 'ger-shop': account } });
}

// The naive router returns complete answers and bills nothing. If the demo did not report that, it
// would also accept a real router that loses bills.
test('the demo runs a deployment and finds that a naive router bills nothing', async (t) => {
  const directory = await mkdtemp(join(tmpdir(), 'lab-demo-'));
  t.after(() => rm(directory, { recursive: true }));
  const result = await runDemo({
    deployment: 'tsagaan-deel',
    seconds: 1.5,
    ratePerSecond: 20,
    seed: 2,
    keep: false,
    directory,
    apply: declare,
    routerCommand: (file) => ({ file: process.execPath, args: [naiveRouter, file] }),
    signal: new AbortController().signal,
    onProgress: () => undefined,
  });
  const { load, violations } = result;
  assert.ok(load.requests > 10);
  assert.equal(load.whole + load.hungUp, load.requests);
  assert.ok(Object.values(load.entries).includes('entered'));
  assert.deepEqual(violations, ['1 accounts were billed less than their whole answers cost']);
});
