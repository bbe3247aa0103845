// Runs every test file, or those whose path contains one of the given filters.
//
// Soak runs start dozens of processes, so they come after all other files and alone. So do the tests of
// misbehaving clients, one at a time, because they check the memory of a process.
//
// A failure of a test that KNOWN-RED.txt lists is printed and does not fail the run. Any other failure
// does, and so does a listed test that passes, so that its line gets removed. A flaky test is listed
// as "sometimes: NAME" and may pass or fail.
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { resolve } from 'node:path';
import process from 'node:process';
import { pipeline } from 'node:stream/promises';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { ensureInstalled } from './ensureInstalled.mjs';

ensureInstalled();

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const SOMETIMES = 'sometimes: ';
/** Milliseconds after which a test fails that hangs, and a file of tests. */
const HANG_MS = 900_000;
const MAX_FILES_AT_ONCE = 6;
/** Files that run at a time for each processor; the rest is for the processes that they start. */
const FILES_PER_PROCESSOR = 0.75;

const filters = process.argv.slice(2);
const files = readdirSync('test', { recursive: true })
  .map((file) => `test/${file}`)
  .filter((file) => file.endsWith('.test.ts'))
  .filter((file) => filters.length === 0 || filters.some((word) => file.includes(word)))
  .sort();
if (files.length === 0) {
  console.error(`no test file matches: ${filters.join(' ')}`);
  process.exit(2);
}

const knownRed = readKnownRed();
const results = { passed: new Set(), failed: new Set() };
let hasFailed = false;
// `run` passes these to the process of each file.
process.execArgv.push(
  '--conditions=@flamingocourse/source',
  '--import=tsx',
  '--import=./scripts/exitAfterTests.mjs',
  `--test-timeout=${String(HANG_MS)}`,
);
const isSoak = (file) => file.startsWith('test/soak/');
const isClients = (file) => file.startsWith('test/clients/');
await runFiles(files.filter((file) => !isSoak(file) && !isClients(file)));
await runFiles(files.filter(isClients), 1);
await runFiles(files.filter(isSoak));
process.exit(exitCode(hasFailed ? 1 : 0, results));

async function runFiles(chosen, atOnce = Number(process.env.TEST_CONCURRENCY ?? filesAtOnce())) {
  if (chosen.length === 0) return;
  const events = run({
    files: chosen.map((file) => resolve(file)),
    concurrency: atOnce,
    timeout: HANG_MS,
  });
  events.on('test:pass', ({ name }) => {
    results.passed.add(name);
  });
  events.on('test:fail', ({ name, details }) => {
    hasFailed = true;
    // a group that fails only because one of its tests failed is not counted.
    if (details.error.failureType !== 'subtestsFailed') results.failed.add(name);
  });
  await pipeline(events, new spec(), process.stdout, { end: false });
}

/** Fewer on a small machine, where tests of real processes would wait for the processor. */
function filesAtOnce() {
  const count = Math.floor(availableParallelism() * FILES_PER_PROCESSOR);
  return Math.min(MAX_FILES_AT_ONCE, Math.max(1, count));
}

/** Map from the name of a test that may fail to its line. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return new Map();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const entries = lines.filter((line) => line.trim() !== '' && !line.startsWith('#'));
  return new Map(entries.map((line) => [nameOf(line), line]));
}

function nameOf(line) {
  const first = line.split(' | ')[0].trim();
  return first.startsWith(SOMETIMES) ? first.slice(SOMETIMES.length) : first;
}

function exitCode(status, { passed, failed }) {
  const nowPassing = [...knownRed]
    .filter(([name, line]) => !line.startsWith(SOMETIMES) && passed.has(name) && !failed.has(name))
    .map(([name]) => name);
  for (const name of nowPassing) {
    console.error(`"${name}" passes again: remove its line from ${KNOWN_RED_FILE}`);
  }
  if (nowPassing.length > 0) return 1;
  const unexpected = [...failed].filter((name) => !knownRed.has(name));
  if (status === 0) return 0;
  if (failed.size === 0 || unexpected.length > 0) return status;
  for (const name of failed) console.log(`known red, passed over: ${knownRed.get(name)}`);
  return 0;
}
