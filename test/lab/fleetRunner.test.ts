import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { fileURLToPath } from 'node:url';
import type { InstanceRecord } from '@flamingocourse/core';
import { deployments, FleetRunner, routerSlots } from '@flamingocourse/lab';

const idleRouter = fileURLToPath(new URL('./fixtures/idleRouter.mjs', import.meta.url));
const NO_ANSWER_MS = 150;

interface StartedFleet {
  fleet: FleetRunner;
  listed: () => string[];
}

async function startFleet(t: TestContext): Promise<StartedFleet> {
  const directory = await mkdtemp(join(tmpdir(), 'fleet-runner-'));
  let records: InstanceRecord[] = [];
  const fleet = await FleetRunner.create({
    slots: [
      { instance: 'router-1', dataCentre: 'dc-a' },
      { instance: 'router-1', dataCentre: 'dc-b' },
    ],
    platformUrls: { 'dc-a': 'http://127.0.0.1:1', 'dc-b': 'http://127.0.0.1:2' },
    directory,
    settings: (_, index) => ({ mesh: { heartbeatMs: 100 + index } }),
    command: (file) => ({ file: process.execPath, args: [idleRouter, file] }),
    onInstances: (live) => (records = live),
    stopTimeoutMs: 2_000,
  });
  t.after(async () => {
    await fleet.stop();
    await rm(directory, { recursive: true });
  });
  await fleet.start();
  return { fleet, listed: () => records.map((record) => record.id) };
}

async function answers(url: string): Promise<boolean> {
  try {
    const res = await fetch(`${url}/readyz`, { signal: AbortSignal.timeout(NO_ANSWER_MS) });
    await res.body?.cancel();
    return res.ok;
  } catch {
    return false;
  }
}

test('each router has its own settings, with the others as seeds', async (t) => {
  const { fleet } = await startFleet(t);
  const res = await fetch(`${String(fleet.entryUrls[1])}/settings`);
  const { settings } = (await res.json()) as { settings: Record<string, Record<string, unknown>> };
  assert.equal(settings.dataCentre, 'dc-b');
  assert.equal(settings.platform?.url, 'http://127.0.0.1:2');
  assert.equal(settings.mesh?.heartbeatMs, 101);
  assert.deepEqual(settings.mesh.seeds, [fleet.routers[0]?.meshUrl]);
});

test('a killed router leaves the instance list and restarts on its address', async (t) => {
  const { fleet, listed } = await startFleet(t);
  const [url = ''] = fleet.entryUrls;
  assert.equal((await fleet.kill(0)).signal, 'SIGKILL');
  assert.deepEqual(listed(), ['dc-b/router-1']);
  assert.equal(await answers(url), false);
  await fleet.restart(0);
  assert.deepEqual(listed(), ['dc-a/router-1', 'dc-b/router-1']);
  assert.equal(await answers(url), true);
});

test('a frozen router does not answer, is still listed, and continues after a thaw', async (t) => {
  const { fleet, listed } = await startFleet(t);
  const [url = ''] = fleet.entryUrls;
  fleet.freeze(0);
  assert.equal(await answers(url), false);
  assert.equal(listed().length, 2);
  fleet.thaw(0);
  assert.equal(await answers(url), true);
});

test('a planned stop ends with code 0', async (t) => {
  const { fleet } = await startFleet(t);
  fleet.freeze(1);
  assert.deepEqual(await fleet.terminate(0), { code: 0, signal: null });
  assert.deepEqual(await fleet.stop(), [{ code: 0, signal: null }]);
});

const sizes = [
  { name: 'tsagaan-deel', routers: 8, dataCentres: 4, servers: [6, 4] },
  { name: 'svifvakt', routers: 7, dataCentres: 3, servers: [8, 3] },
] as const;
for (const { name, routers, dataCentres, servers } of sizes) {
  test(`${name} has ${routers} routers in ${dataCentres} data centres`, () => {
    const slots = routerSlots(deployments[name]);
    const ids = slots.map((slot) => `${slot.dataCentre}/${slot.instance}`);
    assert.equal(new Set(ids).size, routers);
    assert.equal(new Set(slots.map((slot) => slot.dataCentre)).size, dataCentres);
    assert.deepEqual(
      deployments[name].services.map((service) => service.servers),
      servers,
    );
  });
}
