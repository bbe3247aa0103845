// One entry of the list of servers comes from another writer and holds an address that nobody can use.
// From then on no instance learns of any change of the list, and a new process serves nothing.
import { setTimeout as delay } from 'node:timers/promises';
import { Server } from '../lib/server.mjs';
import { Store } from '../lib/store.mjs';
import { call, configuration, runCase } from '../lib/fleet.mjs';

/** `drain_ms` of the site. */
const DRAIN_MS = 2_000;
/** Beyond it, so that nothing is counted that was under way. */
const SLACK_MS = 1_000;
const REQUESTS = 40;
/** Time that a restarted instance gets until it is ready. */
const READY_MS = 10_000;

await runCase(import.meta.dirname, async (c) => {
  const store = c.closeAtEnd(await new Store().listen());
  const servers = [];
  for (const id of ['i-1', 'i-2', 'i-3']) {
    const server = new Server({ id, service: 'logbok-app', log: c.log });
    servers.push(c.closeAtEnd(await server.listen()));
    store.put('servers', id, server.entry());
  }
  store.put('config', 'main', configuration());
  const instances = [];
  for (const zone of ['hall-a', 'hall-b', 'hall-c']) {
    const instance = await c.instance(`edge-${zone}-1`, store.port, { zone });
    instances.push(instance);
    await instance.start();
  }
  const send = async (some) => {
    const answers = [];
    for (let at = 0; at < REQUESTS; at += 1) {
      const instance = some[at % some.length];
      answers.push(await call(c, instance, { path: '/launch/entry', body: `entry=${at}` }));
    }
    return answers.filter(({ status }) => status === 200).length;
  };
  const before = await send(instances);
  if (c.trouble) {
    const entry = servers[0].entry({ address: '127.0.0.1:82270' });
    store.put('servers', 'from-another-writer', entry);
    c.log(`an entry of another writer: ${JSON.stringify(entry)}`);
  }
  await delay(1_500);

  // planned work: a server is drained.
  const [leaving] = servers;
  store.put('servers', leaving.id, leaving.entry({ state: 'draining', seq: 2 }));
  c.log(`the store has confirmed that ${leaving.id} is draining`);
  await delay(DRAIN_MS + SLACK_MS);
  const runsBefore = leaving.runs.length;
  const during = await send(instances);
  const late = leaving.runs.length - runsBefore;
  c.log(`${late} requests reached ${leaving.id} later than drain_ms after the confirmation`);

  // and an instance is stopped and started.
  const [restarted] = instances;
  restarted.signal('SIGTERM');
  await restarted.exited();
  const isReady = await Promise.race([
    restarted.start().then(
      () => true,
      () => false,
    ),
    delay(READY_MS).then(() => false),
  ]);
  const after = await send([restarted]);
  const verdict = [
    `served ${before} of ${REQUESTS} before, ${during} of ${REQUESTS} later;`,
    `DRAIN: ${late} of these ${REQUESTS} reached the server that drains, sent over ${DRAIN_MS + SLACK_MS} ms after the confirmation;`,
    `an instance that was stopped and started was ${isReady ? '' : 'not '}ready within ${READY_MS} ms and served ${after} of ${REQUESTS};`,
    `the instances logged ${instances.reduce((sum, each) => sum + each.events('service-failed').length, 0)} internal faults`,
  ].join(' ');
  return { broken: late > 0, verdict };
});
