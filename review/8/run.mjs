/** Another writer leaves an entry with an unreadable id in the list of servers, and the store is down. */

import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { fileURLToPath } from 'node:url';
import {
  BackendProcess,
  Instance,
  Store,
  call,
  delay,
  hasTrouble,
  runCase,
} from '../common-2/harness.mjs';

const HOST = 'shop.example';
const KEY = 'key-1';
const ZONE = 'zone-a';
/** Id of the entry of another writer; U+FFFD stands for a byte that could not be read. */
const FOREIGN_ID = hasTrouble ? 'i-7f\ufffd' : 'i-7f';
const DEADLINE_MS = 2_500;
const HEARTBEAT_MS = 1_200;
/** Entries are removed after three heartbeats of silence, also while the store is down. */
const EXPIRY_MS = 3 * HEARTBEAT_MS;
const OUTAGES = 3;
const OUTAGE_MS = 4_500;
/** Entries are back within two seconds of the store's return; the other writer needs most of them. */
const FOREIGN_BACK_MS = 1_800;
const BETWEEN_MS = 9_000;
/** Milliseconds after which the platform starts a process that has ended. */
const RESTART_MS = 1_000;
/** Ends by itself of one process, and machines with so many, that make the day count 0. */
const MAX_ENDS = 3;
const MIN_MACHINES = 2;
/** More lost requests than this break the rule. */
const MAX_LOST = 3;
/** Callers at each instance, and milliseconds that a server works for one of them. */
const CALLERS = 4;
const WORK_MS = 300;

const route = { hostname: HOST, timeout_ms: DEADLINE_MS, target_latency_ms: 500, priority: 1 };
const config = {
  version: 3,
  routes: [
    {
      ...route,
      name: 'record',
      path_prefix: '/record/',
      kind: 'non_idempotent',
      service: 'ledger',
      max_attempts: 1,
    },
  ],
  services: [{ name: 'ledger', health_path: '/health', max_connections: 100 }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_000_000,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'tenant-1', api_keys: [KEY], prepaid: 1_000_000 }],
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  const { record } = world;
  const store = await new Store().listen(world);
  store.put('config', 'main', config);
  let isDown = false;
  let upAt = -Infinity;
  store.intercept = ({ res }) => {
    if (isDown) res.writeHead(503, { 'content-length': 0 }).end();
    return isDown;
  };
  const servers = [];
  for (const id of ['i-1', 'i-2']) {
    servers.push(await new BackendProcess(world, { id, service: 'ledger', zone: ZONE }).start());
  }
  let seq = 0;
  const beat = () => {
    if (isDown) return;
    seq += 1;
    for (const server of servers) {
      store.put('servers', server.id, server.entry(`${server.host}:${server.port}`, seq));
    }
    if (performance.now() - upAt < FOREIGN_BACK_MS) return;
    // another writer's copy of the entry of a server, under an id that is no server's.
    const [copied] = servers;
    store.put('servers', FOREIGN_ID, copied.entry(`${copied.host}:${copied.port}`, seq));
  };
  beat();
  const beats = setInterval(beat, HEARTBEAT_MS);
  world.onEnd(() => clearInterval(beats));

  const instances = ['edge-1', 'edge-2', 'edge-3'].map((name, at) => {
    const host = `127.0.0.${51 + at}`;
    return new Instance(world, { name, zone: ZONE, host, store });
  });
  await Promise.all(instances.map((instance) => instance.startReady()));
  let isOver = false;
  const supervise = async (instance) => {
    while (!isOver) {
      await delay(50);
      if (isOver || !instance.hasEnded) continue;
      const message = /^\w*Error.*$/m.exec(instance.output.slice(-3_000))?.[0];
      record(`${instance.name} has ended by itself: ${message ?? 'no message'}`);
      await delay(RESTART_MS);
      if (!isOver) await instance.start();
    }
  };
  const supervisors = instances.map((instance) => supervise(instance));
  // each caller keeps its connection to one instance, as long as it is open.
  const answers = [];
  let sent = 0;
  const keepCalling = async (instance, agent) => {
    while (!isOver) {
      sent += 1;
      const id = `r-${sent}`;
      const answer = await call({
        host: instance.host,
        port: instance.front,
        path: '/record/1',
        method: 'POST',
        body: 'x=1',
        agent,
        headers: {
          host: HOST,
          'x-request-id': id,
          'x-deadline-ms': String(DEADLINE_MS),
          authorization: `Token ${KEY}`,
          'x-pause-ms': String(WORK_MS),
        },
      });
      answers.push({ id, instance: instance.name, ...answer });
      if (answer.status !== 200) await delay(100);
    }
  };
  const callers = instances.flatMap((instance) => {
    return Array.from({ length: CALLERS }, () => {
      return keepCalling(instance, new Agent({ keepAlive: true, maxSockets: 1 }));
    });
  });

  for (let outage = 1; outage <= OUTAGES; outage += 1) {
    await delay(BETWEEN_MS);
    const downAt = performance.now();
    isDown = true;
    record(`outage ${outage}: the store answers 503`);
    await delay(EXPIRY_MS);
    for (const name of store.names('servers')) store.remove('servers', name);
    await delay(OUTAGE_MS - (performance.now() - downAt));
    isDown = false;
    upAt = performance.now();
    record('the store is back');
  }
  await delay(BETWEEN_MS);
  isOver = true;
  await Promise.all([...callers, ...supervisors]);
  const ran = new Set(
    servers.flatMap(({ seen }) => {
      return seen.filter(({ what }) => what === 'runs').map((each) => each.request.split(' ')[0]);
    }),
  );
  const lost = answers.filter(({ id, status }) => status === 0 && ran.has(id));
  const statuses = new Map();
  for (const { status, error } of answers) {
    const what = status === 0 ? String(error) : String(status);
    statuses.set(what, (statuses.get(what) ?? 0) + 1);
  }
  for (const [what, count] of statuses) record(`${count} requests ended with ${what}`);
  for (const { name, exits } of instances) {
    record(`${name} ended by itself ${exits.length} times`);
  }
  for (const { id, instance, error } of lost) {
    record(
      `${id} ran at a server, and ${instance} closed its channel without an answer (${error})`,
    );
  }
  const broken = [];
  if (lost.length > MAX_LOST) {
    broken.push(`LOST: ${lost.length} requests were passed on and got no answer`);
  }
  const failing = instances.filter(({ exits }) => exits.length >= MAX_ENDS);
  if (failing.length >= MIN_MACHINES) {
    const machines = `${failing.length} of ${instances.length} machines`;
    broken.push(`Fault: on ${machines} the process ended by itself ${MAX_ENDS} times or more`);
  }
  return broken;
});
