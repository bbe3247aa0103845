import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const run = promisify(execFile);
const fixture = fileURLToPath(new URL('fixtures/lastLine.ts', import.meta.url));
const flags = ['--conditions=@flamingocourse/source', '--import=tsx'];

// An engineer takes a process for killed that has stopped in order: its last line was lost with it.
test('the last line of a process that stops is written', async () => {
  const { stdout } = await run(process.execPath, [...flags, fixture]);
  assert.match(stdout, /"name":"gateway-stopped"/);
});
