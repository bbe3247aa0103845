import type { ChildProcess } from 'node:child_process';
import type { TestContext } from 'node:test';
import type { ServerFate } from './serverProcess.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { blockEventLoop } from './blockEventLoop.js';
import { WHOLE_STREAM, idsOf, sendUntilReceived, startServer } from './serverProcesses.js';
import { storyConfig } from './streamWorld.js';
import { World } from './world.js';

/** Allows a second attempt, and limits a request by its deadline alone. */
const ROUTE = { timeout_ms: 10_000, max_attempts: 2 };
/** Milliseconds for which the process of the instance stands still while the server continues. */
const BLOCKED_MS = 400;

/** Pauses a server when it starts a response, and blocks this process when it continues. */
async function pauseOnce(child: ChildProcess, pauseMs: number): Promise<void> {
  child.kill('SIGSTOP');
  await delay(pauseMs);
  child.kill('SIGCONT');
  blockEventLoop(BLOCKED_MS);
}

async function startPaused(
  t: TestContext,
  fate: ServerFate,
  pauseMs: number,
): Promise<{ world: World; hasPaused: () => boolean }> {
  const world = await World.start(t, storyConfig(7, ROUTE));
  world.behave('e', 'stream');
  const child = await startServer(t, world, fate, { service: 'llm', isAlone: false });
  let hasPaused = false;
  child.once('message', () => {
    hasPaused = true;
    void pauseOnce(child, pauseMs);
  });
  return { world, hasPaused: () => hasPaused };
}

// Guards against events that arrive twice or out of order, because a stream goes on elsewhere while its server, which
// was only unresponsive, still delivers.
describe('a stream whose server is unresponsive while the instance stands still', () => {
  // a server has 0.6 of the deadline to send the head of its response.
  const cases: { name: string; fate: ServerFate; pauseMs: number; deadlineMs: number }[] = [
    { name: 'in the stream', fate: 'waits-in-stream', pauseMs: 1_200, deadlineMs: 10_000 },
    {
      name: 'before its head, until right before the timeout',
      fate: 'waits-before-head',
      pauseMs: 2_200,
      deadlineMs: 4_000,
    },
    {
      name: 'before its head, beyond the timeout',
      fate: 'waits-before-head',
      pauseMs: 2_800,
      deadlineMs: 4_000,
    },
  ];
  for (const { name, fate, pauseMs, deadlineMs } of cases) {
    test(name, async (t) => {
      const { world, hasPaused } = await startPaused(t, fate, pauseMs);
      const headers = { 'x-deadline-ms': String(deadlineMs) };
      const answers = await sendUntilReceived(world, '/tale/', hasPaused, headers);
      for (const answer of answers) assert.deepEqual(idsOf(answer), WHOLE_STREAM);
      assert.ok(answers.every(({ complete }) => complete));
    });
  }
});
