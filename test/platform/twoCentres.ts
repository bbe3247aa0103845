/** One gateway with servers in two data centres. */

import type { TestContext } from 'node:test';
import type { SettingsChange } from './world.js';
import { World, until } from './world.js';

/** Starts a gateway whose first server of each kind is in `hall-a` and the second in `hall-b`. */
export async function startInTwo(
  t: TestContext,
  config: Record<string, unknown>,
  settings: SettingsChange,
): Promise<World> {
  const world = await World.start(t, config, settings);
  world.behave('e', 'stream');
  let listed = 0;
  for (const id of ['p2', 'e2']) {
    const service = id === 'p2' ? 'ledger' : 'llm';
    listed = world.store.put('servers', id, world.server(id).entry(service, { zone: 'hall-b' }));
  }
  await until('both are listed anew', () => {
    const last = world.log.events.findLast(({ event }) => event === 'servers-changed');
    return Number(last?.fields.version) >= listed;
  });
  return world;
}

/** What fails at servers, with a request that is repeated, sent again or resumed because of it. */
export const failures = [
  { name: 'a repeated request', kind: 'p', behaviour: 'reset', path: '/look/1' },
  { name: 'a request that was not run', kind: 'p', behaviour: 'shed', path: '/book/1' },
  { name: 'a resumed stream', kind: 'e', behaviour: 'break-stream', path: '/draft/1' },
] as const;
