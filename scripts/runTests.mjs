// runs every test file, or those whose path contains one of the given words.
import { spawnSync } from 'node:child_process';
import { readdirSync } from 'node:fs';

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
const concurrency = process.env.TEST_CONCURRENCY ?? '6';
const result = spawnSync(
  process.execPath,
  [
    '--conditions=@flamingocourse/source',
    '--import=tsx',
    '--test',
    `--test-concurrency=${concurrency}`,
    '--test-reporter=spec',
    // a test that hangs must fail, or CI says nothing until its own limit.
    '--test-timeout=120000',
    ...files,
  ],
  { stdio: 'inherit' },
);
process.exit(result.status ?? 1);
