import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { describe, test } from 'node:test';

const module = fileURLToPath(new URL('../../platform/src/earlySignals.ts', import.meta.url));

// Guards against a process that SIGHUP ends during its start. The settings file changed while an instance was
// starting, and the handler of the signal was only installed later. Callers were refused for a second.
describe('a SIGHUP before the program has started', () => {
  const cases = [
    { name: 'is remembered', signals: 2, expected: 'true' },
    { name: 'is not made up', signals: 0, expected: 'false' },
  ];
  for (const { name, signals, expected } of cases) {
    test(name, async () => {
      const script = `
        import { takeEarlyHangup } from ${JSON.stringify(module)};
        for (let n = 0; n < ${String(signals)}; n += 1) process.kill(process.pid, 'SIGHUP');
        await new Promise((resolve) => setTimeout(resolve, 50));
        process.stdout.write(String(takeEarlyHangup()));`;
      const child = spawn(process.execPath, [
        '--import',
        'tsx',
        '--input-type=module',
        '-e',
        script,
      ]);
      let output = '';
      child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
      const [code, signal] = (await once(child, 'close')) as [number | null, string | null];
      assert.deepEqual({ code, signal, output }, { code: 0, signal: null, output: expected });
    });
  }
});
