// Loaded into the process of each test file. It makes the process exit when its tests are over, once its
// results are written.
//
// Where no handle is open, Node 20 can loop forever while it cleans up the handles of exited child
// processes. The option --test-force-exit exits before the last results are written. Handles that a
// test left open would keep the process, so they fail it.
import process from 'node:process';
import { after } from 'node:test';
import { setImmediate, setTimeout } from 'node:timers';

/** Milliseconds for the hooks of the file and for the handles of its last test to close. */
const HANDLES_CLOSE_MS = 10_000;

if (process.env.NODE_TEST_CONTEXT !== undefined) {
  after(() => {
    setTimeout(() => {
      const handles = process.getActiveResourcesInfo().join(', ');
      process.stderr.write(`handles are open after the last test: ${handles}\n`);
      process.exit(1);
    }, HANDLES_CLOSE_MS).unref();
  });
  let isLast = false;
  process.on('beforeExit', () => {
    if (isLast) process.exit();
    isLast = true;
    // the test runner writes its last results in listeners of its own; the event follows once more.
    setImmediate(() => undefined);
  });
}
