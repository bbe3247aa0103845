/** Backend servers in processes of their own, in a world. */

import type { ChildProcess } from 'node:child_process';
import type { TestContext } from 'node:test';
import type { ServerFate } from './serverProcess.js';
import type { Answer, World } from './world.js';
import assert from 'node:assert/strict';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { untilListed } from './streamWorld.js';

/** Requests after which the server must have received one. */
const MAX_REQUESTS = 24;
const ID = 'k1';
/** Ids of the events of a whole stream. */
export const WHOLE_STREAM = ['1', '2', '3', '4'];

/** Lists a server of its own process, beside others or alone. */
export async function startServer(
  t: TestContext,
  world: World,
  fate: ServerFate,
  { service, isAlone }: { service: string; isAlone: boolean },
): Promise<ChildProcess> {
  const child = fork(new URL('serverProcess.ts', import.meta.url), [ID, fate]);
  t.after(() => child.kill('SIGKILL'));
  const [{ address }] = (await once(child, 'message')) as [{ address: string }];
  const [first] = world.servers;
  assert.ok(first);
  if (isAlone) for (const { id } of world.servers) world.store.remove('servers', id);
  world.store.put('servers', ID, first.entry(service, { address }));
  await untilListed([world]);
  return child;
}

/** Sends requests until the server has received one, and returns all answers. */
export async function sendUntilReceived(
  world: World,
  path: string,
  hasReceived: () => boolean,
  headers: Record<string, string> = {},
): Promise<Answer[]> {
  const answers: Answer[] = [];
  while (!hasReceived() && answers.length < MAX_REQUESTS) {
    const at = String(answers.length);
    const isPlain = path.startsWith('/look') || path.startsWith('/book');
    const answer = isPlain
      ? await world.call({ path: `${path}${at}`, headers })
      : await world.generate(`${path}${at}`, 1_000, {
          'x-prompt-prefix': `${at}:100`,
          ...headers,
        });
    answers.push(answer);
  }
  assert.ok(hasReceived(), 'the server received no request');
  return answers;
}

export function idsOf({ body }: Answer): string[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id = '']) => id);
}
