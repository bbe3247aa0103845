// runs the lab's command; installs and builds first where that is needed.
import process from 'node:process';
import { ensureInstalled, npm, root, runStep } from './ensureInstalled.mjs';

ensureInstalled();
// tsc builds only what is missing or older than its sources.
runStep(npm, ['run', '-s', 'build']);
process.chdir(root);
await import('../packages/lab/dist/node/labCommand/main.js');
