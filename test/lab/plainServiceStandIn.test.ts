import type { PlainServiceStandIn } from '@flamingocourse/lab';
import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { createPlainServiceStandIn, createServiceRecords } from '@flamingocourse/lab';

const records = createServiceRecords();
const services: PlainServiceStandIn[] = [];

after(async () => {
  await Promise.all(services.map((service) => service.stop()));
});

async function startService(): Promise<PlainServiceStandIn> {
  const service = await createPlainServiceStandIn({ records, serviceMs: 1 });
  services.push(service);
  return service;
}

async function reserve(service: PlainServiceStandIn, key: string): Promise<number | 'broken'> {
  try {
    const res = await fetch(`${service.url}/reservations`, {
      method: 'POST',
      headers: { 'x-request-id': `${key}-nonce` },
      body: JSON.stringify({ key, item: 'bed' }),
    });
    await res.body?.cancel();
    return res.status;
  } catch {
    return 'broken';
  }
}

// A caller sees the same broken connection whether it broke before the call ran or after. A wrong
// guess runs the call twice or never, so the stand-in must produce and record both cases.
const breakCases = [
  { breakAt: null, seen: 201, runs: 1 },
  { breakAt: 'before-run', seen: 'broken', runs: 0 },
  { breakAt: 'after-run', seen: 'broken', runs: 1 },
] as const;
for (const { breakAt, seen, runs } of breakCases) {
  test(`a call with a break ${breakAt ?? 'nowhere'} has ${runs} runs on record`, async () => {
    const service = await startService();
    service.setFaults({ breakAt, breaks: breakAt === null ? 0 : 1 });
    const key = `key-${breakAt ?? 'whole'}`;
    assert.equal(await reserve(service, key), seen);
    assert.equal(service.runsOf(key).length, runs);
  });
}

test('servers of one service count the runs of a key together', async () => {
  const [first, second] = [await startService(), await startService()];
  await reserve(first, 'twice');
  await reserve(second, 'twice');
  assert.deepEqual(
    first.runsOf('twice').map((run) => run.requestId),
    ['twice-nonce', 'twice-nonce'],
  );
});

test('a read shows the entry and echoes its query', async () => {
  const service = await startService();
  await reserve(service, 'seen');
  const res = await fetch(`${service.url}/reservations/seen?caller=c-1`);
  const body = await res.json();
  assert.deepEqual(body, {
    path: '/reservations/seen',
    query: { caller: 'c-1' },
    entry: { key: 'seen', item: 'bed' },
  });
});

test('a leaving service refuses calls and fails its health check', async () => {
  const service = await startService();
  service.setFaults({ leaving: true });
  assert.equal(await reserve(service, 'late'), 503);
  assert.equal((await fetch(`${service.url}/health`)).status, 503);
  assert.equal(service.runsOf('late').length, 0);
});
