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

/** States that the simulation has to reach to be a meaningful check. */
const reachedStates = [
  'someAnswered',
  'someSealedAfterBill',
  'someIntentOpen',
  'someStoredAtWitness',
];

/** Mutants that the replay must detect; otherwise it compares too little. */
const detectableMutants = [
  'take beyond the pool',
  'settle repeated after a lost reply',
  'journal takes lines of a sealed holder',
  'grant without limit check',
];

test('the specification passes the type check and its scenarios', async () => {
  await quint(['typecheck', SPEC]);
  await quint(['test', SPEC, '--main=flamingocourse', '--backend=typescript']);
});

test('200 runs of 60 steps satisfy all invariants and reach all required states', async () => {
  // Guards against a fault of the protocol itself: an overdraft, a second bill or execution, or a
  // false "not run".
  const options = [
    '--seed=1',
    '--max-samples=200',
    '--verbosity=1',
    '--witnesses',
    ...reachedStates,
  ];
  const printed = await quint(['run', SPEC, ...SIMULATION, ...options]);
  assert.match(printed, /No violation found/);
  for (const name of reachedStates)
    assert.match(printed, new RegExp(`${name} was witnessed in [1-9]`));
});

test('traces of the specification replay on the production reducers', async (context) => {
  // Guards against code that differs from the checked specification: the reducers take each action
  // too, and ledger, journals, lines, tickets, claims and requests are compared after it.
  const traces = await writeTraces(context);
  const lengths = traces.map((trace) =>
    replayTrace(trace).unwrapOrElse((err) => assert.fail(err.message)),
  );
  assert.equal(lengths.length, TRACES);
  for (const name of detectableMutants) {
    const { rules } = mutantList.find((mutant) => mutant.name === name) ?? assert.fail(name);
    assert.ok(
      traces.some((trace) => replayTrace(trace, rules).isErr),
      `not detected: ${name}`,
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
