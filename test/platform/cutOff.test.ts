import type { TestContext } from 'node:test';
import type { CutMode, Link } from '../../packages/lab/src/node/link/index.js';
import type { Answer } from './world.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createLink } from '../../packages/lab/src/node/link/index.js';
import { CRASHING_BODY } from './fakeServer.js';
import { restartUnder } from './restartUnder.js';
import { World } from './world.js';

/** Milliseconds after a cut from which callers of the instance must be served. */
const SETTLED_MS = 3_000;
/** Calls of each kind after that. */
const CALLS = 12;
/** Calls of each kind at a time; more than there are open connections to the servers. */
const AT_ONCE = 4;
/** Milliseconds between calls, before the cut and after. */
const INTERVAL_MS = 25;

interface CutWorld {
  cut: World;
  links: Link[];
}

/** Starts two instances with mesh; the first reaches each server by a link of its own. */
async function startWithLinks(t: TestContext): Promise<CutWorld> {
  const other = await World.start(t, undefined, { mesh: true });
  const links = new Map(
    await Promise.all(
      other.servers.map(async ({ address }) => {
        const [host = '', port] = address.split(':');
        const link = await createLink({ target: { host, port: Number(port) } });
        t.after(() => link.close());
        return [address, link] as const;
      }),
    ),
  );
  const url = await other.store.listenView(t, (kind, spec) => {
    if (kind !== 'servers' || spec === null) return spec;
    const entry = spec as { address: string };
    const link = links.get(entry.address);
    return { ...entry, address: `127.0.0.1:${String(link?.port)}` };
  });
  const cut = await other.join(t, 'edge-2', { mesh: true, store: { url } });
  await cut.allKnow([cut, other]);
  other.behave('e', 'stream');
  return { cut, links: [...links.values()] };
}

/** Crashes of servers that show a request to be their cause. */
const PROVEN_CRASHES = 3;
/** Times that the request is sent; its callers try again at this instance only. */
const REPEATS = 12;
const REPEAT_MS = 400;

const kinds = ['/look/', '/book/', '/draft/'];

function callEach(world: World): Promise<Answer>[] {
  return kinds.map((path) => (path === '/draft/' ? world.generate(path) : world.call({ path })));
}

// Guards against callers of an instance that lost its links to the servers, although its peers reach them.
describe('an instance that is cut off from all servers', () => {
  const cases: { name: string; mode: CutMode }[] = [
    { name: 'in silence', mode: 'silent' },
    { name: 'by resets', mode: 'reset' },
    { name: 'for new connections only', mode: 'refuse-new' },
  ];
  for (const { name, mode } of cases) {
    test(`${name}: serves its callers at the first attempt`, async (t) => {
      const { cut, links } = await startWithLinks(t);
      await Promise.all(callEach(cut));
      for (const link of links) link.setCut(mode);
      const until = performance.now() + SETTLED_MS;
      const early: Promise<Answer>[] = [];
      while (performance.now() < until) {
        early.push(...callEach(cut));
        await delay(INTERVAL_MS);
      }
      const answers: Promise<Answer>[] = [];
      for (let at = 0; at < CALLS; at += 1) {
        for (let count = 0; count < AT_ONCE; count += 1) answers.push(...callEach(cut));
        await delay(INTERVAL_MS);
      }
      const statuses = (await Promise.all(answers)).map(({ status }) => status);
      await Promise.all(early);
      const served = statuses.filter((status) => status === 200).length;
      const figures = `${String(served)} of ${String(statuses.length)} served`;
      assert.ok(served * 3 >= statuses.length * 2, figures);
      assert.equal(await cut.ready(), 200);
    });
  }
});

// Guards against a request that crashes servers without end, because their crashes are not seen behind a tunnel.
test('a request that crashes servers is stopped by an instance that reaches them through a peer', async (t) => {
  const { cut, links } = await startWithLinks(t);
  const engines = cut.servers.filter(({ name }) => name.startsWith('e'));
  for (const server of engines) restartUnder(cut, server, 'before-head');
  for (const link of links) link.setCut('silent');
  while (!isTunnelled(cut, engines.length)) await Promise.all(callEach(cut));
  for (let sent = 0; sent < REPEATS; sent += 1) {
    void cut.call({ path: '/draft/a', body: CRASHING_BODY });
    await delay(REPEAT_MS);
  }
  const crashed = engines.reduce((sum, server) => sum + server.crashed, 0);
  assert.ok(crashed > 0 && crashed <= PROVEN_CRASHES, `${String(crashed)} servers crashed`);
});

function isTunnelled({ log }: World, servers: number): boolean {
  const { fields } = log.events.findLast(({ event }) => event === 'server-path-changed') ?? {};
  return Number(fields?.tunnel) >= servers;
}
