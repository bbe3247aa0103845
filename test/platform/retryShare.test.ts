import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World, configWith } from './world.js';

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
