// Runs the lab's command; installs dependencies and builds first if needed.
import process from 'node:process';
import { ensureInstalled, npm, root, runStep } from './ensureInstalled.mjs';

ensureInstalled();
// tsc rebuilds only outputs that are missing or older than their sources.
runStep(npm, ['run', '-s', 'build']);
process.chdir(root);
await import('../packages/lab/dist/node/labCommand/main.js');
