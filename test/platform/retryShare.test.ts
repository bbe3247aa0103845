import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World, configWith, until } from './world.js';

const REQUESTS = 60;
/** Repeats as a fraction of the requests, without the fleet's slack. */
const RATIO = 0.2;

// Guards against an instance that starts again and again and takes its share of the fleet's retries each time.
test('an instance that has just started repeats no more than a part of its own requests', async (t) => {
  const world = await World.start(t, configWith(), { retries: { ratio: RATIO } });
  world.behave('p', 'error');
  for (let at = 0; at < REQUESTS; at += 1) await world.call({ path: `/look/${String(at)}` });
  const arrivals = world.seen('p').length;
  assert.ok(arrivals > REQUESTS, 'none was repeated');
  assert.ok(arrivals <= (1 + RATIO) * REQUESTS, `${String(arrivals)} arrivals`);
});

// Guards against servers that get more than their limit, because an instance that was just removed still sends its share.
test('a rate limit stays divided by the instances that were listed lately', async (t) => {
  const world = await World.start(t);
  const other = await world.join(t, 'edge-2');
  await world.allKnow([world, other]);
  for (const server of world.servers) server.rateLimit = '100';
  const callAll = async (): Promise<void> => {
    for (let at = 0; at < 6; at += 1) await world.call({ path: `/look/${String(at)}` });
  };
  await callAll();
  await other.stop();
  await until('the other is not listed', () => {
    const last = world.log.events.findLast(({ event }) => event === 'instances-changed');
    return last?.fields.instances === 1;
  });
  await callAll();
  const sharers = world.log.events
    .filter(({ event }) => event === 'request-ended')
    .flatMap(({ fields }) => fields.limitSharers ?? []);
  assert.equal(sharers.at(-1), 2);
});
