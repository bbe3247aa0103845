// Loaded into the process of each test file. It makes the process exit when its tests are over, once its
// results are written.
//
// Handles that a test left open would keep it. Where none is open, Node 20 can loop forever while it
// cleans up the handles of exited child processes. The option --test-force-exit exits before the last
// results are written.
import process from 'node:process';
import { after } from 'node:test';
import { setImmediate, setTimeout } from 'node:timers';

/** Milliseconds that the handles of the last test have to close. */
const HANDLES_CLOSE_MS = 1_000;

if (process.env.NODE_TEST_CONTEXT !== undefined) {
  after(() => {
    setTimeout(() => process.exit(), HANDLES_CLOSE_MS).unref();
  });
  let isLast = false;
  process.on('beforeExit', () => {
    if (isLast) process.exit();
    isLast = true;
    // the test runner writes its last results in listeners of its own; the event follows once more.
    setImmediate(() => undefined);
  });
}
