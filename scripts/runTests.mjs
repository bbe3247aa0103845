// runs every test file, or those whose path contains one of the given words.
//
// A test named in KNOWN-RED.txt may fail: it is printed and passed over. Any other failure fails the
// run, and so does a listed test that passes again, so that its line gets removed. One that fails only
// now and then is listed as "sometimes: NAME" and may do either.
import { spawnSync } from 'node:child_process';
import { ensureInstalled } from './ensureInstalled.mjs';
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

ensureInstalled();

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const SOMETIMES = 'sometimes: ';

const words = process.argv.slice(2);
const files = readdirSync('test', { recursive: true })
  .map((file) => `test/${file}`)
  .filter((file) => file.endsWith('.test.ts'))
  .filter((file) => words.length === 0 || words.some((word) => file.includes(word)))
  .sort();
if (files.length === 0) {
  console.error(`no test file matches: ${words.join(' ')}`);
  process.exit(2);
}

const knownRed = readKnownRed();
const directory = mkdtempSync(join(tmpdir(), 'flamingocourse-tests-'));
const tapFile = join(directory, 'results.tap');
const concurrency = process.env.TEST_CONCURRENCY ?? '6';
const run = spawnSync(
  process.execPath,
  [
    '--conditions=@flamingocourse/source',
    '--import=tsx',
    '--test',
    `--test-concurrency=${concurrency}`,
    '--test-reporter=spec',
    '--test-reporter-destination=stdout',
    '--test-reporter=tap',
    `--test-reporter-destination=${tapFile}`,
    // a test that hangs must fail, or CI says nothing until its own limit.
    '--test-timeout=120000',
    // Node 20 can spin for ever while it cleans up the handles of ended child processes, after the
    // last test has ended (seen in test/process: the main thread stays in CleanupHandles).
    '--test-force-exit',
    ...files,
  ],
  { stdio: 'inherit' },
);
const results = readResults(tapFile);
rmSync(directory, { recursive: true });
process.exit(judge(run.status ?? 1, results));

/** Names of tests that may fail, with the whole line of each. */
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

/** Names of passed and failed tests from a TAP report. A group that fails only by its tests is none itself. */
function readResults(file) {
  const passed = new Set();
  const failed = new Set();
  let last;
  for (const line of readFileSync(file, 'utf8').split('\n')) {
    const match = /^\s*(not ok|ok) \d+ - (.*?)(?: # .*)?$/.exec(line);
    if (match) {
      last = match[2];
      (match[1] === 'ok' ? passed : failed).add(last);
    } else if (/^\s*failureType: 'subtestsFailed'$/.test(line)) {
      failed.delete(last);
    }
  }
  return { passed, failed };
}

function judge(status, { passed, failed }) {
  const repaired = [...knownRed]
    .filter(([name, line]) => !line.startsWith(SOMETIMES) && passed.has(name) && !failed.has(name))
    .map(([name]) => name);
  for (const name of repaired) {
    console.error(`"${name}" passes again: remove its line from ${KNOWN_RED_FILE}`);
  }
  if (repaired.length > 0) return 1;
  const unknown = [...failed].filter((name) => !knownRed.has(name));
  if (status === 0) return 0;
  if (failed.size === 0 || unknown.length > 0) return status;
  for (const name of failed) console.log(`known red, passed over: ${knownRed.get(name)}`);
  return 0;
}
