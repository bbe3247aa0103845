/** Streams that are begun at one instance and taken up at another, in a world with several software versions. */

import type { TestContext } from 'node:test';
import type { CutMode } from '../../packages/lab/src/node/link/index.js';
import type { Answer } from './world.js';
import assert from 'node:assert/strict';
import { createLink } from '../../packages/lab/src/node/link/index.js';
import { FakeServer, softwareOf } from './fakeServer.js';
import { World, configWith, until } from './world.js';

/** Streams that are begun in a case. */
export const STREAMS = 12;
/** Milliseconds for which a caller may come back; longer than an instance takes to stop. */
const CALLER_WAITS_MS = 10_000;
/** Prepaid tokens, so many that no instance lacks them. */
const PREPAID = 100_000_000;
/** Milliseconds within which a refusal counts as given at once. */
const AT_ONCE_MS = 700;
export const OLD = 'v1';
export const NEW = 'v2';

/** A stream of which a caller has the first event. */
export interface BegunStream {
  /** Id of the attempt that brought the first event. */
  id: string;
  path: string;
  software: string;
}

/** A caller's later try, and what became of it. */
export interface LaterTry {
  stream: BegunStream;
  answer: Answer;
  tookMs: number;
}

function route(name: string, change: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    name,
    hostname: 'shop.example',
    path_prefix: `/${name}/`,
    kind: 'streaming',
    resume_streams: true,
    timeout_ms: 2_000,
    target_latency_ms: 200,
    priority: 1,
    max_attempts: 1,
    public: false,
    service: 'llm',
    ...change,
  };
}

/** Configuration with a resumable route of one attempt and one of two. */
export function storyConfig(
  version = 7,
  change: Record<string, unknown> = {},
): Record<string, unknown> {
  const { services } = configWith() as { services: object[] };
  const other = { ...services[1], name: 'llm-b' };
  const tenants = ['kirk', 'spock'].map((name) => {
    return { name, api_keys: [`key-of-${name}`], prepaid: PREPAID };
  });
  return configWith({
    version,
    routes: [route('tale', change), route('saga', { max_attempts: 2 })],
    services: [...services, other],
    tenants,
  });
}

/** Starts an instance with two engines of each of the given versions; `e1` and `e2` are of the first. */
export async function startWorld(t: TestContext, versions: string[]): Promise<World> {
  const world = await World.start(t, storyConfig(), { mesh: true });
  const [, ...others] = versions;
  for (const software of others) {
    await addEngine(t, world, `${software}-a`, software);
    await addEngine(t, world, `${software}-b`, software);
  }
  await untilListed([world]);
  return world;
}

export async function addEngine(
  t: TestContext,
  world: World,
  name: string,
  software: string,
  service = 'llm',
): Promise<FakeServer> {
  const server = await new FakeServer(name).listen(t);
  server.software = software;
  world.servers.push(server);
  world.store.put('servers', server.id, server.entry(service));
  return server;
}

/** Lets the listed engines name their starts, so that they may start again under their ids. */
export async function nameStarts(world: World): Promise<void> {
  const listed = new Set(world.store.names('servers'));
  const revisions = engines(world)
    .filter(({ id }) => listed.has(id))
    .map((server) => {
      server.bornAt = 1_000;
      return world.store.put('servers', server.id, server.entry('llm'));
    });
  await until('the entries were read', () =>
    world.log.events.some(({ event, fields }) => {
      return event === 'servers-changed' && Number(fields.version) >= Math.max(...revisions);
    }),
  );
}

/** Waits until each instance lists exactly the servers that the store lists. */
export async function untilListed(fleet: readonly World[]): Promise<void> {
  await until('the servers are listed', () =>
    fleet.every(({ log, store }) => {
      const last = log.events.findLast(({ event }) => event === 'servers-changed');
      return last?.fields.servers === store.names('servers').length;
    }),
  );
}

/** Waits until an instance knows of this number of instances. */
export async function untilKnows(world: World, instances: number): Promise<void> {
  await until('the instances are known', () => {
    const last = world.log.events.findLast(({ event }) => event === 'instances-changed');
    return last?.fields.instances === instances;
  });
}

export async function joinAll(t: TestContext, first: World, names: string[]): Promise<World[]> {
  const joined = await Promise.all(
    names.map((name) => first.join(t, name, { mesh: true, dataCentre: `hall-of-${name}` })),
  );
  const fleet = [first, ...joined];
  await first.allKnow(fleet);
  await untilListed(fleet);
  return fleet;
}

/**
 * Lets other instances join, which reach the first one by a link only. They see no answers of it any
 * more after `loseFirst`, whatever else it still does.
 */
export async function joinBehindLink(
  t: TestContext,
  first: World,
  names: string[],
): Promise<{ peers: World[]; loseFirst: (mode: CutMode) => void }> {
  const { host = '', port = 0 } = first.settings?.listen.mesh ?? {};
  const link = await createLink({ target: { host, port } });
  t.after(() => link.close());
  const meshUrl = `http://127.0.0.1:${String(link.port)}`;
  const url = await first.store.listenView(t, (kind, spec) => {
    if (kind !== 'fleet-instances') return spec;
    const { instances } = spec as { instances: Record<string, object> };
    const { [first.instance]: listed } = instances;
    return listed === undefined
      ? spec
      : { instances: { ...instances, [first.instance]: { meshUrl } } };
  });
  const peers = await Promise.all(
    names.map((name) => {
      return first.join(t, name, { mesh: true, dataCentre: `hall-of-${name}`, store: { url } });
    }),
  );
  await first.allKnow([first, ...peers]);
  await untilListed([first, ...peers]);
  return {
    peers,
    loseFirst: (mode) => {
      link.setCut(mode);
    },
  };
}

export function engines(world: World): FakeServer[] {
  return world.servers.filter(({ id }) => !id.startsWith('p'));
}

export function behave(world: World, behaviour: FakeServer['behaviour']): void {
  for (const server of engines(world)) server.behaviour = behaviour;
}

/**
 * Begins streams of which each caller gets the first event only.
 *
 * @param from number of the first one, which its id contains.
 */
export async function beginStreams(
  world: World,
  count = STREAMS,
  from = 0,
): Promise<BegunStream[]> {
  behave(world, 'break-stream');
  const begun = await Promise.all(
    Array.from({ length: count }, async (_, index): Promise<BegunStream> => {
      const at = from + index;
      const stream = { id: `first-${String(at)}`, path: `/tale/${String(at)}` };
      const answer = await world.generate(stream.path, 1_000, {
        'x-request-id': stream.id,
        'x-deadline-ms': String(CALLER_WAITS_MS),
        'x-prompt-prefix': `${String(at)}:100`,
      });
      const [software = ''] = softwareOf(answer.body);
      assert.equal(answer.body.split('\n\n').length, 2, `${stream.id}: ${answer.body}`);
      return { ...stream, software };
    }),
  );
  behave(world, 'stream');
  return begun;
}

export async function takeUp(
  world: World,
  stream: BegunStream,
  headers: Record<string, string> = {},
): Promise<LaterTry> {
  const startedAt = performance.now();
  const answer = await world.generate(stream.path, 1_000, {
    'x-request-id': `again-${stream.id}`,
    'last-event-id': '1',
    resumes: stream.id,
    ...headers,
  });
  return { stream, answer, tookMs: performance.now() - startedAt };
}

export function takeUpAll(world: World, begun: readonly BegunStream[]): Promise<LaterTry[]> {
  return Promise.all(begun.map((stream) => takeUp(world, stream)));
}

export function joinedOf(tries: readonly LaterTry[]): string[] {
  return tries.flatMap(({ stream, answer }) => {
    const others = softwareOf(answer.body).filter((software) => software !== stream.software);
    return others.length === 0 ? [] : [`${stream.id}: ${stream.software} and ${others.join()}`];
  });
}

export function wentOn(tries: readonly LaterTry[]): LaterTry[] {
  return tries.filter(({ answer }) => answer.status === 200 && answer.complete);
}

/** Each was refused at once with a status that promises that nothing ran, and the reason. */
export function assertRefused(tries: readonly LaterTry[]): void {
  for (const { stream, answer, tookMs } of tries) {
    assert.equal(answer.status, 503, stream.id);
    const { reason, run } = JSON.parse(answer.body) as { reason: string; run: string };
    assert.deepEqual({ reason, run }, { reason: 'cannot-resume', run: 'not-run' });
    assert.ok(tookMs < AT_ONCE_MS, `${stream.id} took ${String(tookMs)} ms`);
  }
}

export function begunAt(begun: readonly BegunStream[], software: string): BegunStream[] {
  const found = begun.filter((stream) => stream.software === software);
  assert.ok(found.length > 0, `no stream began at ${software}`);
  return found;
}

/** Requests that reached an engine as a stream that goes on. */
export function resumedArrivals(world: World): FakeServer['seen'] {
  return engines(world).flatMap(({ seen }) =>
    seen.filter(({ headers }) => headers['last-event-id'] !== undefined),
  );
}
