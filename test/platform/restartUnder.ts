/** Servers that a request crashes and that come back under a new id. */

import type { CrashMoment, FakeServer } from './fakeServer.js';
import type { World } from './world.js';

/** Adds a server to the list, and adds it again under its new id after each crash. */
export function restartUnder(
  { store }: Pick<World, 'store'>,
  server: FakeServer,
  moment: CrashMoment,
): void {
  const service = server.name.startsWith('p') ? 'ledger' : 'llm';
  let listed = server.id;
  server.behaviour = service === 'llm' ? 'stream' : 'answer';
  server.crashes = moment;
  store.put('servers', server.id, server.entry(service));
  server.onRestart = () => {
    store.remove('servers', listed);
    listed = server.id;
    store.put('servers', server.id, server.entry(service));
  };
}
