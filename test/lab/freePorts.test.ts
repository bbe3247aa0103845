import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';
import { claimPort, findFreePorts } from '@flamingocourse/lab';

/** Milliseconds after which a claim is void. */
const CLAIM_MS = 10 * 60_000;

// Guards against two test processes that get the same port before either listens on it.
test('a port that another process has claimed is left out until that process ends', async () => {
  const [port = 0] = await findFreePorts(1);
  assert.equal(claimPort(port, Date.now()), false);
  const code = `const { claimPort } = await import('@flamingocourse/lab');
    console.log(claimPort(${String(port)}, Date.now()), claimPort(${String(port + 6_000)}, Date.now()));`;
  const flags = ['--conditions=@flamingocourse/source', '--import=tsx', '--input-type=module'];
  const other = spawnSync(process.execPath, [...flags, '-e', code], { encoding: 'utf8' });
  assert.equal(other.stdout.trim(), 'false true', other.stderr);
  // the other process has ended.
  assert.equal(claimPort(port + 6_000, Date.now()), true);
});

test('the claim of a process that was killed ends some time later', async () => {
  const [port = 0] = await findFreePorts(1);
  assert.equal(claimPort(port, Date.now() + CLAIM_MS - 1_000), false);
  assert.equal(claimPort(port, Date.now() + CLAIM_MS + 1_000), true);
});

test('ports of one process differ', async () => {
  const ports = [...(await findFreePorts(8)), ...(await findFreePorts(8))];
  assert.equal(new Set(ports).size, 16);
});

// Guards against a process that finds no port because another one holds all those it looks at first.
test('ports are found behind a thousand that others have claimed in a row', async () => {
  const [port = 0] = await findFreePorts(1);
  const taken = Array.from(
    { length: 1_000 },
    (_, at) => 20_000 + ((port - 20_000 + 1 + at) % 12_000),
  );
  for (const one of taken) claimPort(one, Date.now());
  const found = await findFreePorts(4);
  assert.equal(found.length, 4);
  assert.deepEqual(
    found.filter((one) => taken.includes(one)),
    [],
  );
});
