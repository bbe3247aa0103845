// All instances are killed at the end of a release of servers. Streams that clients take up again then
// go on at another software version than the one that began them.
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { EventStream, Server } from '../lib/server.mjs';
import { Store } from '../lib/store.mjs';
import { call, configuration, runCase } from '../lib/fleet.mjs';

const OLD = '1.4';
const NEW = '1.5';
const EVENTS = 14;
const STEP_MS = 200;
const STREAMS = 40;
/** Time limit of a client for a stream, over all its tries. */
const CLIENT_MS = 4_000;
/** A client takes its stream up again after this time, a few times. */
const RETRY_MS = 400;
const TRIES = 5;
/** Time between two steps of the release. */
const STEP_OF_RELEASE_MS = 250;

/** Three parts: one that all share, one of a subject, one of the request itself. */
function promptOf(number) {
  const subject = (0x91bd000 + number).toString(16);
  const own = (0xe4402000 + number).toString(16);
  return `5c1e07a2:341,${subject}:227,${own}:332`;
}

await runCase(import.meta.dirname, async (c) => {
  const store = c.closeAtEnd(await new Store().listen());
  const openEngine = async (id, version) => {
    const server = new Server({ id, service: 'floki-llm', version, log: c.log });
    server.slots = 64;
    server.handle = (request, channel) => {
      channel.run(request);
      const text = (number) => `piece-${number} of ${version}`;
      new EventStream(request, channel, { events: EVENTS, stepMs: STEP_MS, text });
    };
    c.closeAtEnd(await server.listen());
    store.put('servers', id, server.entry());
    c.log(`server ${id} of version ${version} is listed`);
    return server;
  };
  const old = new Map();
  for (const id of ['e-1', 'e-2', 'e-3', 'e-4']) old.set(id, await openEngine(id, OLD));
  store.put('config', 'main', configuration());
  const instances = [];
  for (const zone of ['hall-a', 'hall-b', 'hall-c']) {
    const instance = await c.instance(`edge-${zone}-1`, store.port, { zone });
    instances.push(instance);
    await instance.start();
  }
  await delay(2_500);

  /** Versions that made the events of each stream, by the id of its first try. */
  const versionsOf = new Map();
  const client = async (number) => {
    const first = `s${number}-1`;
    const until = performance.now() + CLIENT_MS;
    const events = [];
    versionsOf.set(first, events);
    for (let tries = 1; tries <= TRIES && performance.now() < until; tries += 1) {
      const last = events.at(-1);
      const got = await call(c, instances[(number + tries) % instances.length], {
        id: `s${number}-${tries}`,
        path: '/bill/draft',
        waitMs: Math.floor(until - performance.now()),
        headers: {
          'X-Model': 'm',
          'X-Token-Usage': '900,60',
          'X-Prompt-Prefix': promptOf(number),
          ...(last === undefined ? {} : { 'Last-Event-Id': last.id, Resumes: first }),
        },
      });
      for (const [, id, version] of got.body.matchAll(/id: (\d+)\ndata: \S+ of (\S+)\n\n/g)) {
        events.push({ id, version });
      }
      if (got.status === 200 && got.complete) break;
      await delay(RETRY_MS);
    }
    c.log(`stream ${first} holds ${events.map(({ id, version }) => `${id}@${version}`).join(' ')}`);
  };

  /** Replaces servers one by one: the new one starts first; the old one leaves without draining. */
  const release = async (pairs) => {
    for (const [leaving, coming] of pairs) {
      await openEngine(coming, NEW);
      await delay(STEP_OF_RELEASE_MS);
      store.remove('servers', old.get(leaving).id);
      c.log(`the entry of ${leaving} is removed; it serves on`);
      await delay(STEP_OF_RELEASE_MS);
    }
  };
  // a first release of half of the servers, and a while later one of the others.
  await release([
    ['e-1', 'f-1'],
    ['e-2', 'f-2'],
  ]);
  await delay(3_000);

  const streams = [];
  for (let number = 1; number <= STREAMS; number += 1) {
    streams.push(client(number));
    await delay(10);
  }
  await delay(200);
  await release([
    ['e-3', 'f-3'],
    ['e-4', 'f-4'],
  ]);
  if (c.trouble) {
    for (const instance of instances) instance.signal('SIGKILL');
    await Promise.all(instances.map((instance) => instance.exited()));
    await Promise.all(instances.map((instance) => instance.start()));
  }
  await Promise.all(streams);

  const all = [...versionsOf.values()];
  const begun = all.filter((events) => events.length > 0).length;
  const joined = all.filter((events) => new Set(events.map(({ version }) => version)).size > 1);
  const verdict = `${begun} streams began, ${joined.length} of them hold events of two software versions`;
  return { broken: joined.length > 2, verdict };
});
