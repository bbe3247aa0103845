import type { TestContext } from 'node:test';
import type { DuplicatingOptions, Framing } from './duplicatingServer.js';
import assert from 'node:assert/strict';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createLink } from '../../packages/lab/src/node/link/index.js';
import { DuplicatingServer, faultOf } from './duplicatingServer.js';
import { World, configWith, until } from './world.js';

const SERVER = 's1';
const PATHS = ['/book/1', '/look/1', '/chat/1', '/draft/1'];
/** Calls at a time. */
const AT_ONCE = 4;
/** Milliseconds for which the peer's process is stopped, and between two stops. */
const STOPPED_MS = 1_000;
const RUNNING_MS = 1_500;
/** Milliseconds that callers wait after a refusal. */
const REFUSED_PAUSE_MS = 100;

/** Routes of all kinds to the one service. */
function config(): Record<string, unknown> {
  const { routes, services } = configWith() as { routes: object[]; services: object[] };
  return configWith({
    routes: routes.map((each) => ({ ...each, service: 'ledger' })),
    services: services.slice(0, 1),
  });
}

type Way = 'directly' | 'through a peer' | 'through a peer that is stopped now and then';

/** Starts an instance that reaches a server that sends responses twice. */
async function startWith(t: TestContext, way: Way, server: DuplicatingServer): Promise<World> {
  const near = await World.start(t, config(), { mesh: true });
  const put = (): void => {
    const entry = near.server('p1').entry('ledger', { address: server.address, slots: 64 });
    near.store.put('servers', SERVER, entry);
    for (const { id } of near.servers) near.store.remove('servers', id);
  };
  if (way === 'directly') {
    put();
    await untilListed(near);
    return near;
  }
  const peer = fork(new URL('../gateway/tunnelPeerProcess.ts', import.meta.url), [
    `http://${server.address}`,
  ]);
  t.after(() => peer.kill('SIGKILL'));
  const [meshUrl] = (await once(peer, 'message')) as [string];
  const [host = '', port] = server.address.split(':');
  const link = await createLink({ target: { host, port: Number(port) } });
  t.after(() => link.close());
  link.setCut('reset');
  const url = await near.store.listenView(t, (kind, spec) => {
    if (kind === 'servers' && spec !== null) {
      return { ...(spec as object), address: `127.0.0.1:${String(link.port)}` };
    }
    if (kind !== 'fleet-instances') return spec;
    const { instances } = spec as { instances: Record<string, object> };
    const seen = Object.entries(instances).map(([name, each]) => [name, { ...each, meshUrl }]);
    return { instances: Object.fromEntries(seen) as Record<string, object> };
  });
  const far = await near.join(t, 'edge-2', { mesh: true, store: { url } });
  await far.allKnow([near, far]);
  put();
  await untilListed(far);
  // until the path through the peer is known, calls may be refused.
  await until('served', async () => (await far.call({ path: '/look/1' })).status === 200);
  if (way === 'through a peer') return far;
  const stops = setInterval(() => {
    peer.kill('SIGSTOP');
    setTimeout(() => peer.kill('SIGCONT'), STOPPED_MS);
  }, STOPPED_MS + RUNNING_MS);
  t.after(() => {
    clearInterval(stops);
  });
  return far;
}

async function untilListed(world: World): Promise<void> {
  await until('listed', () => {
    const last = world.log.events.findLast(({ event }) => event === 'servers-changed');
    return last?.fields.servers === 1;
  });
}

// Guards against bytes of another response, an incomplete response that looks complete, a stream with missing
// or repeated events, a second run, and a healthy server that is avoided, on connections with duplicates.
describe('a caller of a server that sends responses twice gets its own one or none', () => {
  const ways: { way: Way; calls: number }[] = [
    { way: 'directly', calls: 400 },
    { way: 'through a peer', calls: 400 },
    { way: 'through a peer that is stopped now and then', calls: 400 },
  ];
  for (const { way, calls } of ways) {
    test(way, async (t) => {
      const server = await new DuplicatingServer({ seed: 41, again: 0.5 }).listen(t);
      const world = await startWith(t, way, server);
      const statuses: Record<string, number> = {};
      const faults: string[] = [];
      const call = async (n: number): Promise<number> => {
        const path = PATHS[n % PATHS.length] ?? '';
        const id = `d-${String(n)}`;
        const answer = await world.call({ path, headers: { 'x-request-id': id } });
        const key = `${path.slice(1, 5)} ${String(answer.status)}${answer.complete ? '' : ' cut'}`;
        statuses[key] = (statuses[key] ?? 0) + 1;
        const fault = faultOf(id, path, answer);
        if (fault !== undefined) faults.push(fault);
        const runs: Framing[] = server.runs.get(id) ?? [];
        if (path === '/book/1' && runs.length > 1) faults.push(`${id} ran twice`);
        const isWhole = answer.status === 200 && answer.complete;
        if (isWhole && runs.length === 1 && runs[0] === 'reset') faults.push(`${id} was cut off`);
        if ([408, 421, 429, 503].includes(answer.status) && runs.length > 0 && path === '/book/1')
          faults.push(`${id} was refused and ran`);
        return answer.status;
      };
      for (let n = 0; n < calls; n += AT_ONCE) {
        const answers = await Promise.all(Array.from({ length: AT_ONCE }, (_, at) => call(n + at)));
        // callers who are refused wait, so that not all calls are spent while the peer is stopped.
        if (answers.includes(503)) await delay(REFUSED_PAUSE_MS);
      }
      if (way !== 'through a peer that is stopped now and then') {
        const refused = Object.keys(statuses).filter((key) => key.endsWith('503'));
        assert.deepEqual(refused, [], 'a healthy server stays in use');
      }
      t.diagnostic(`${JSON.stringify(statuses)} ${JSON.stringify(server.sentAgain)}`);
      assert.deepEqual(faults, []);
      const moments = Object.keys(server.sentAgain).length;
      assert.equal(moments, 5, 'duplicates were sent at each moment');
    });
  }
});

/** Calls of which some are answered behind a duplicate, and of which at most so many may be lost. */
const ONCE_CALLS = 400;
const MAX_LOST = 4;

// Guards against calls that may run only once and end with 502 because a duplicate of an earlier response came first.
describe('a duplicate in front of a response does not end a call that may run only once', () => {
  for (const way of ['directly', 'through a peer'] as const) {
    test(way, async (t) => {
      const again: DuplicatingOptions = {
        seed: 7,
        again: 0.12,
        moments: ['idle', 'idle, two writes', 'next', 'next, two writes'],
        framings: ['length', 'chunked'],
      };
      const server = await new DuplicatingServer(again).listen(t);
      const world = await startWith(t, way, server);
      let lost = 0;
      for (let n = 0; n < ONCE_CALLS; n += AT_ONCE) {
        const calls = Array.from({ length: AT_ONCE }, async (_, at) => {
          const id = `o-${String(n + at)}`;
          const answer = await world.call({ path: '/book/1', headers: { 'x-request-id': id } });
          if (answer.status !== 200) lost += 1;
          assert.equal(faultOf(id, '/book/1', answer), undefined);
          assert.ok((server.runs.get(id) ?? []).length <= 1, `${id} ran twice`);
        });
        await Promise.all(calls);
      }
      assert.ok(lost <= MAX_LOST, `${String(lost)} of ${String(ONCE_CALLS)} were lost`);
    });
  }
});
