/** The operator adds a tenant whose name is also the name of a property of every JavaScript object. */

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
const ZONES = { 'zone-a': 'region-1', 'zone-b': 'region-1' };
/** Name of the added tenant, and the name that it has without the disruption. */
const ADDED = hasTrouble ? 'constructor' : 'builder';
const DEADLINE_MS = 4_000;
/** Milliseconds that a server works on a request. */
const WORK_MS = 300;
/** Milliseconds after which the platform starts a process that has ended. */
const RESTART_MS = 1_000;
/** Milliseconds before and after the change of the configuration. */
const BEFORE_MS = 5_000;
const AFTER_MS = 12_000;
const CALLERS = 5;
/** More lost requests than this break the rule. */
const MAX_LOST = 3;
/** Ends by itself of one process, and machines with so many, that make the day count 0. */
const MAX_ENDS = 3;
const MIN_MACHINES = 2;

const route = { hostname: HOST, timeout_ms: DEADLINE_MS, target_latency_ms: 500, priority: 1 };
const tenant = { name: 'tenant-1', api_keys: [KEY], prepaid: 1_000_000 };
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
  tenants: [tenant],
};
const changed = {
  ...config,
  version: 5,
  tenants: [tenant, { name: ADDED, api_keys: ['key-2'], prepaid: 1_000_000 }],
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (world) => {
  const { record } = world;
  const store = await new Store().listen(world);
  store.put('config', 'main', config);
  const servers = [];
  for (const [at, zone] of Object.keys(ZONES).entries()) {
    servers.push(
      await new BackendProcess(world, { id: `i-${at + 1}`, service: 'ledger', zone }).start(),
    );
  }
  let seq = 0;
  const beat = () => {
    seq += 1;
    for (const server of servers) {
      store.put('servers', server.id, server.entry(`${server.host}:${server.port}`, seq));
    }
  };
  beat();
  const beats = setInterval(beat, 1_200);
  world.onEnd(() => clearInterval(beats));

  const names = ['edge-a-1', 'edge-a-2', 'edge-b-1', 'edge-b-2'];
  const instances = names.map((name, at) => {
    const zone = Object.keys(ZONES)[Math.floor(at / 2)];
    return new Instance(world, {
      name,
      zone,
      host: `127.0.0.${31 + at}`,
      store,
      zones: ZONES,
      contracts: ['base', 'drain', 'config', 'tenants', 'platform'],
    });
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
      const at = performance.now();
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
      answers.push({ id, at, instance: instance.name, ...answer });
      if (answer.status !== 200) await delay(200);
    }
  };
  const callers = instances.flatMap((instance) => {
    return Array.from({ length: CALLERS }, () =>
      keepCalling(instance, new Agent({ keepAlive: true, maxSockets: 1 })),
    );
  });
  await delay(BEFORE_MS);
  const changedAt = performance.now();
  store.put('config', 'main', changed);
  record(`the operator writes version ${changed.version}, which adds the tenant "${ADDED}"`);
  await delay(AFTER_MS);
  isOver = true;
  await Promise.all(callers);
  const ends = instances.map(({ name, exits }) => ({ name, ends: exits.length }));
  await Promise.all(supervisors);

  const ran = new Set(
    servers.flatMap(({ seen }) =>
      seen.filter(({ what }) => what === 'runs').map(({ request }) => request.split(' ')[0]),
    ),
  );
  const lost = answers.filter(({ id, status }) => status === 0 && ran.has(id));
  const share = (part) =>
    `${part.filter(({ status }) => status === 200).length} of ${part.length} served`;
  record(`before the change: ${share(answers.filter(({ at }) => at < changedAt))}`);
  record(`after it: ${share(answers.filter(({ at }) => at >= changedAt))}`);
  for (const { name, ends: count } of ends) record(`${name} ended by itself ${count} times`);
  for (const { id, instance, error } of lost)
    record(
      `${id} ran at a server, and ${instance} closed its channel without an answer (${error})`,
    );
  const broken = [];
  if (lost.length > MAX_LOST)
    broken.push(`LOST: ${lost.length} requests were passed on and got no answer`);
  const failing = ends.filter(({ ends: count }) => count >= MAX_ENDS).length;
  if (failing >= MIN_MACHINES)
    broken.push(
      `Fault: on ${failing} of ${instances.length} machines the process ended by itself ${MAX_ENDS} times or more`,
    );
  return broken;
});
