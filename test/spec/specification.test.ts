import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtemp, readFile, readdir, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { mutantList, replayTrace } from '@flamingocourse/lab';

const run = promisify(execFile);

const SPEC = 'spec/flamingocourse.qnt';
const SIMULATION = ['--backend=typescript', '--max-steps=60', '--invariant=safe'];

const TRACES = 40;

/** States that the simulation has to reach; without them it would have shown nothing. */
const reached = ['someAnswered', 'someSealedAfterBill', 'someIntentKept', 'someKeptByWitness'];

/** Broken rules that the replay must notice, or it would not compare enough. */
const visible = [
  'take beyond the pool',
  'settle repeated after a lost reply',
  'journal takes lines of a sealed holder',
  'grant without limit check',
];

test('the specification has no type faults and its scenarios hold', async () => {
  await quint(['typecheck', SPEC]);
  await quint(['test', SPEC, '--main=flamingocourse', '--backend=typescript']);
});

test('200 runs of 60 steps keep all invariants and reach the states that matter', async () => {
  // a fault of the protocol itself: an overdraft, a second bill or run, a false "not run".
  const options = ['--seed=1', '--max-samples=200', '--verbosity=1', '--witnesses', ...reached];
  const printed = await quint(['run', SPEC, ...SIMULATION, ...options]);
  assert.match(printed, /No violation found/);
  for (const name of reached) assert.match(printed, new RegExp(`${name} was witnessed in [1-9]`));
});

test('traces of the specification replay on the real reducers', async (context) => {
  // the code would do otherwise than what was checked: each action is taken by the reducers too,
  // and ledger, journals, lines, tickets, claims and requests are compared after each.
  const traces = await writeTraces(context);
  const lengths = traces.map((trace) =>
    replayTrace(trace).unwrapOrElse((err) => assert.fail(err.message)),
  );
  assert.equal(lengths.length, TRACES);
  for (const name of visible) {
    const { rules } = mutantList.find((mutant) => mutant.name === name) ?? assert.fail(name);
    assert.ok(
      traces.some((trace) => replayTrace(trace, rules).isErr),
      `not noticed: ${name}`,
    );
  }
});

async function writeTraces(context: TestContext): Promise<unknown[]> {
  const directory = await mkdtemp(join(tmpdir(), 'traces-'));
  context.after(() => rm(directory, { recursive: true }));
  const files = `--out-itf=${join(directory, '{seq}.itf.json')}`;
  const options = ['--seed=2', `--max-samples=${TRACES}`, `--n-traces=${TRACES}`, '--mbt', files];
  await quint(['run', SPEC, ...SIMULATION, ...options, '--verbosity=0']);
  const names = await readdir(directory);
  const texts = await Promise.all(names.map((name) => readFile(join(directory, name), 'utf8')));
  return texts.map((text) => JSON.parse(text) as unknown);
}

async function quint(args: string[]): Promise<string> {
  const { stdout } = await run(process.execPath, ['node_modules/.bin/quint', ...args]);
  return stdout;
}
