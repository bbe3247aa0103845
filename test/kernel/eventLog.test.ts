import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const run = promisify(execFile);
const fixture = fileURLToPath(new URL('fixtures/lastLine.ts', import.meta.url));
const flags = ['--conditions=@flamingocourse/source', '--import=tsx'];

// Guards against a graceful stop that looks like a kill in the log because its last line was lost.
test('the last line of a process that stops is written', async () => {
  const { stdout } = await run(process.execPath, [...flags, fixture]);
  assert.match(stdout, /"name":"gateway-stopped"/);
});
