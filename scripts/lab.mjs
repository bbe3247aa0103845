// runs the lab's command; installs and builds first where that is needed.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));
const npm = process.platform === 'win32' ? 'npm.cmd' : 'npm';

function runStep(file, args) {
  const result = spawnSync(file, args, { cwd: root, stdio: ['inherit', 2, 2] });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

if (!existsSync(new URL('../node_modules/typescript', import.meta.url))) {
  runStep(npm, ['ci', '--prefer-offline']);
}
// tsc builds only what is missing or older than its sources.
runStep(npm, ['run', '-s', 'build']);
process.chdir(root);
await import('../packages/lab/dist/node/labCommand/main.js');
