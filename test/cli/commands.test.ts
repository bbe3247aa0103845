import type { PlatformStandIn } from '../../packages/lab/src/node/platformStandIn/index.js';
import { accountText, classText, serviceText } from './fixtures.js';
import { after, before, test } from 'node:test';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import assert from 'node:assert/strict';
import { createPlatformStandIn } from '../../packages/lab/src/node/platformStandIn/index.js';
import { createServer } from 'node:http';
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { join } from 'node:path';
import { tmpdir } from 'node:os';

const main = fileURLToPath(new URL('../../packages/cli/src/node/main.ts', import.meta.url));
const examples = fileURLToPath(new URL('../../examples/', import.meta.url));
const broken = fileURLToPath(
  new URL('../declaration/fixtures/broken-weight.jsonc', import.meta.url),
);

interface Run {
  code: number;
  stdout: string;
  stderr: string;
}

let platform: PlatformStandIn;
let folder: string;

before(async () => {
  platform = await createPlatformStandIn({ listenPorts: { 'dc-a': 0 }, instanceLagMs: 0 });
  folder = mkdtempSync(join(tmpdir(), 'flamingocourse-cli-'));
});

after(async () => {
  await platform.close();
  rmSync(folder, { recursive: true });
});

/** Runs the command as a process; the platform is the stand-in unless the arguments name one. */
function run(...args: string[]): Promise<Run> {
  const env = {
    ...process.env,
    FLAMINGOCOURSE_PLATFORM: platform.operatorsUrl,
    FLAMINGOCOURSE_WHO: 'oyun',
  };
  const all = ['--conditions=@flamingocourse/source', '--import=tsx', main, ...args];
  return new Promise((resolve) => {
    execFile(process.execPath, all, { env }, (err, stdout, stderr) => {
      const code = typeof err?.code === 'number' ? err.code : 0;
      resolve({ code, stdout, stderr });
    });
  });
}

function write(name: string, ...objects: string[]): string {
  const file = join(folder, name);
  writeFileSync(file, `[${objects.join(',')}]`);
  return file;
}

const withoutPlatform: [string, string[], number, RegExp][] = [
  ['a valid deployment', ['validate', join(examples, 'tsagaan-deel')], 0, /17 sound objects/],
  ['another valid deployment', ['validate', join(examples, 'svifvakt')], 0, /17 sound objects/],
  ['a faulty file', ['validate', broken], 1, /broken-weight\.jsonc:7:3: weights/],
  ['a missing file', ['validate', 'nowhere.jsonc'], 2, /Check the path/],
  ['an unknown command', ['aply'], 2, /Not a valid subcommand/],
  ['an unknown guard rail', ['validate', broken, '--acknowledge', 'all'], 2, /share-over-100/],
  ['no file', ['validate'], 2, /No file is given/],
  ['help', ['--help'], 0, /put declarations in force/],
  [
    'a platform that does not answer',
    ['get', '--platform', 'http://127.0.0.1:9'],
    4,
    /Try again, or check the platform's URL/,
  ],
];

for (const [name, args, code, message] of withoutPlatform) {
  test(`${name} ends with exit code ${code}`, async () => {
    const result = await run(...args);
    assert.equal(result.code, code, result.stderr);
    assert.match(result.stdout + result.stderr, message);
  });
}

test('plan, apply, a guard rail, a conflict and the history work together', async () => {
  const files = [serviceText, classText('a'), accountText('altan', '1')];
  const first = await run('apply', write('first.jsonc', ...files));
  assert.equal(first.code, 0, first.stderr);
  assert.match(first.stdout, /budget of altan opened/);

  const guarded = write('guarded.jsonc', classText('a', '"budgetShare": 0'));
  assert.equal((await run('plan', guarded)).code, 5);
  const blocked = await run('apply', guarded);
  assert.equal(blocked.code, 5, blocked.stdout);

  const saved = join(folder, 'plan.json');
  const changed = write('changed.jsonc', classText('a', '"budgetShare": 0.5'));
  assert.equal((await run('plan', changed, '--save', saved)).code, 0);
  assert.equal(
    (await run('apply', write('other.jsonc', classText('a', '"budgetShare": 0.4')))).code,
    0,
  );
  const stale = await run('apply', '--plan', saved, '--who', 'bat');
  assert.equal(stale.code, 3, stale.stdout);
  assert.match(stale.stdout.replace(/\s+/g, ' '), /oyun made a change \(update\)/);

  const history = await run('history', 'WorkClass.a', '--output', 'json');
  const entries = JSON.parse(history.stdout) as { who: string; verdict: string }[];
  assert.deepEqual(
    entries.map(({ who, verdict }) => `${who} ${verdict}`),
    ['oyun accepted', 'oyun refused-guard', 'oyun accepted', 'bat refused-conflict'],
  );
});

test('a budget is topped up once per change id and reduced', async () => {
  await run('apply', write('account.jsonc', accountText('nomin', '2')));
  const topUp = ['budget', 'top-up', '--account', 'nomin', '--tokens', '500', '--change-id', 'r1'];
  assert.equal((await run(...topUp)).code, 0);
  assert.equal((await run(...topUp)).code, 0);
  const reduced = await run('budget', 'reduce', '--account', 'nomin', '--tokens', '200');
  assert.equal(reduced.code, 0, reduced.stderr);
  const shown = await run('budget', 'show', '--account', 'nomin', '--output', 'json');
  const [line] = JSON.parse(shown.stdout) as { limit: number; left: number }[];
  assert.deepEqual([line?.limit, line?.left], [1_300, 1_300]);
  assert.equal((await run('budget', 'top-up', '--account', 'nomin', '--tokens', '-1')).code, 2);
  assert.equal((await run('budget', 'show', '--account', 'nobody')).code, 1);
  const unacknowledged = await run('budget', 'write-off', '--data-centre', 'dc-a', '--holder', 'x');
  assert.equal(unacknowledged.code, 5);
});

test('status queries the routers of the instance list', async () => {
  const router = createServer((req, res) => {
    res.end(JSON.stringify(req.url === '/status' ? { revision: 7 } : {}));
  });
  await new Promise<void>((resolve) => router.listen(0, '127.0.0.1', resolve));
  const address = router.address();
  assert.ok(typeof address === 'object' && address);
  const url = `http://127.0.0.1:${address.port}`;
  const service = 'flamingocourse-router';
  const base = { service, dataCentre: 'dc-a', state: 'live' } as const;
  platform.setInstances(service, [{ ...base, id: 'r1', url }]);
  const ready = await run('status', '--output', 'json');
  assert.equal(ready.code, 0, ready.stderr);
  assert.match(ready.stdout, /"revision": 7/);
  const dead = { ...base, id: 'r2', url: 'http://127.0.0.1:9' };
  platform.setInstances(service, [{ ...base, id: 'r1', url }, dead]);
  const partial = await run('status');
  router.close();
  assert.equal(partial.code, 1);
  assert.match(partial.stdout, /r2 .* no answer/);
});

test('the binary starts a module that is compiled from the sources', () => {
  const bin = fileURLToPath(new URL('../../packages/cli/bin/flamingocourse.mjs', import.meta.url));
  const [, target] = /'\.\.\/dist\/(.*)\.js'/.exec(readFileSync(bin, 'utf8')) ?? [];
  assert.ok(existsSync(new URL(`../../packages/cli/src/${target ?? ''}.ts`, import.meta.url)));
});
