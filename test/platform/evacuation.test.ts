import type { GatewaySettings } from '@flamingocourse/gateway';
import type { TestContext } from 'node:test';
import type { Answer } from './world.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { failures, startInTwo } from './twoCentres.js';
import { KEY, World, configWith, until } from './world.js';

/** Milliseconds within which an evacuation must take effect. */
const APPLY_MS = 1_500;
/** Milliseconds for which callers are watched after that. */
const WATCHED_MS = 1_000;
const CALL_INTERVAL_MS = 15;
const settings = {
  // both servers of a kind are as near to it.
  dataCentre: 'hall-c',
  regions: { 'hall-a': 'north', 'hall-b': 'north' },
  evacuation: { applyMs: APPLY_MS },
};
/** These tests are not about budgets. */
const tenants = [{ name: 'kirk', api_keys: [KEY], prepaid: 50_000_000 }];
const kinds = ['/look/', '/book/', '/chat/', '/draft/'];

function start(t: TestContext): Promise<World> {
  return startInTwo(t, configWith({ tenants }), settings);
}

/** Has callers send requests of all kinds for a time. */
async function callFor(world: World, ms: number): Promise<Answer[]> {
  const answers: Promise<Answer>[] = [];
  const end = performance.now() + ms;
  for (let at = 0; performance.now() < end; at += 1) {
    const path = kinds[at % kinds.length] ?? '';
    const prompt = { 'x-prompt-prefix': `${at.toString(16)}:300,b2:500,c3:200` };
    answers.push(
      /chat|draft/.test(path) ? world.generate(path, 1_000, prompt) : world.call({ path }),
    );
    await delay(CALL_INTERVAL_MS);
  }
  return Promise.all(answers);
}

/** Requests that reached the servers of the second data centre from a time on. */
function reachedB(world: World, from: number): number {
  return ['p2', 'e2'].flatMap((id) => world.server(id).seen).filter(({ at }) => at >= from).length;
}

const evacuate = (world: World): void => void world.store.put('evacuations', 'hall-b', {});

// Guards against requests to an evacuated data centre, whatever happens to the store afterwards.
describe('from its time on an evacuated data centre gets nothing new', () => {
  const cases: { name: string; then: (world: World) => void; spec?: unknown }[] = [
    { name: 'in calm', then: () => undefined },
    { name: 'while the store is silent', then: ({ store }) => void (store.fault = 'silent') },
    { name: 'while the store is down', then: ({ store }) => void (store.fault = 'down') },
    {
      name: 'after the store has dropped its history',
      then: ({ store }) => void (store.fault = 'history-gone'),
    },
    { name: 'by an entry that holds nothing', then: () => undefined, spec: null },
    { name: 'by an entry of another type', then: () => undefined, spec: 'text' },
    {
      name: 'beside an entry of no data centre',
      then: ({ store }) => void store.put('evacuations', 'x'.repeat(5_000), [1]),
    },
  ];
  for (const { name, then, spec = {} } of cases) {
    test(name, async (t) => {
      const world = await start(t);
      const before = await callFor(world, 400);
      assert.ok(reachedB(world, 0) > 0);
      world.store.put('evacuations', 'hall-b', spec);
      const from = performance.now() + APPLY_MS;
      const first = callFor(world, APPLY_MS + WATCHED_MS);
      await delay(APPLY_MS / 2);
      then(world);
      const answers = [...before, ...(await first)];
      assert.equal(reachedB(world, from), 0);
      const served = answers.filter(({ status }) => status === 200).length;
      assert.ok(served >= 0.98 * answers.length, `${String(served)} of ${String(answers.length)}`);
    });
  }
});

// Guards against an instance that serves callers before it knows what is evacuated.
test('an instance that starts while an evacuation stands sends nothing there', async (t) => {
  const world = await start(t);
  evacuate(world);
  await until('known', () => world.events.includes('evacuation-began'));
  const from = performance.now();
  const started = await world.join(t, 'edge-2', settings);
  const answers = await callFor(started, WATCHED_MS);
  assert.equal(reachedB(world, from), 0);
  assert.ok(answers.filter(({ status }) => status === 200).length >= 0.98 * answers.length);
});

// Guards against a data centre that gets nothing any more after its evacuation was taken back.
test('an evacuation ends with its entry', async (t) => {
  const world = await start(t);
  evacuate(world);
  await until('known', () => world.events.includes('evacuation-began'));
  world.store.remove('evacuations', 'hall-b');
  await until('taken back', () => world.events.includes('evacuation-ended'));
  const from = performance.now();
  await callFor(world, 600);
  assert.ok(reachedB(world, from) > 0);
});

// Guards against requests that wait until their deadline although no server may take them.
test('with all data centres evacuated, callers are refused at once and told when to come back', async (t) => {
  const world = await start(t);
  evacuate(world);
  world.store.put('evacuations', 'hall-a', {});
  await until('known', () => {
    return world.events.filter((event) => event === 'evacuation-began').length === 2;
  });
  const seenBefore = world.servers.map(({ seen }) => seen.length);
  const sentAt = performance.now();
  const answers = await Promise.all(kinds.map((path) => world.generate(path)));
  const tookMs = performance.now() - sentAt;
  assert.ok(tookMs < 300, `${String(tookMs)} ms`);
  for (const { status, headers, body } of answers) {
    assert.equal(status, 503);
    assert.ok(Number(headers['retry-after']) > 0);
    assert.deepEqual(
      { ...(JSON.parse(body) as object), detail: '' },
      { reason: 'evacuated', run: 'not-run', detail: '' },
    );
  }
  assert.deepEqual(
    world.servers.map(({ seen }) => seen.length),
    seenBefore,
  );
  // no other instance would serve them.
  assert.equal(await world.ready(), 200);
});

// Guards against streams that break off because their data centre is evacuated.
test('work that runs in an evacuated data centre goes on', async (t) => {
  const world = await start(t);
  world.behave('e', 'pause');
  const calls = Array.from({ length: 6 }, (_, at) => {
    return world.generate('/chat/1', 1_000, { 'x-prompt-prefix': `a${String(at)}:900,b2:100` });
  });
  await until('all run', () => world.seen('e').length === 6);
  assert.ok(reachedB(world, 0) > 0);
  evacuate(world);
  await until('known', () => world.events.includes('evacuation-began'));
  for (const id of ['e1', 'e2']) world.server(id).release();
  const answers = await Promise.all(calls);
  assert.deepEqual([...new Set(answers.map(({ status }) => status))], [200]);
  assert.ok(answers.every(({ complete }) => complete));
});

// Guards against an evacuated data centre that gets what failed elsewhere.
describe('what fails elsewhere does not go to an evacuated data centre', () => {
  for (const { name, kind, behaviour, path } of failures) {
    test(name, async (t) => {
      const world = await start(t);
      evacuate(world);
      await until('known', () => world.events.includes('evacuation-began'));
      world.behave(kind, behaviour);
      const from = performance.now();
      await Promise.all(Array.from({ length: 8 }, () => world.generate(path)));
      assert.equal(reachedB(world, from), 0);
    });
  }
});

// Guards against an instance that waits for a watch which it never began, after its settings have changed.
test('evacuations that are allowed by changed settings begin with the next start', async (t) => {
  const world = await World.start(t);
  const next = { ...world.settings, evacuation: { applyMs: APPLY_MS } } as GatewaySettings;
  assert.deepEqual(world.reload(next), ['evacuation']);
  assert.equal(await world.ready(), 200);
  assert.equal((await world.call({ path: '/look/1' })).status, 200);
});
