import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holdUp } from './holdUp.js';
import { World, until } from './world.js';

/** Time limit of the routes of this world, in milliseconds. */
const ROUTE_MS = 1_500;
/** Milliseconds by which an answer may miss it; the users allow half a second. */
const SLACK_MS = 500;

// Nobody can tell where a request lay for two seconds between its caller and its server.
test('a request that lay unread says for how long at most', async (t) => {
  const world = await World.start(t);
  const callers = Array.from({ length: 5 }, () => world.call({ path: '/look/1', method: 'GET' }));
  holdUp(600);
  await Promise.all(callers);
  const unread = world.log.events
    .filter(({ event }) => event === 'request-ended')
    .map(({ fields }) => Number(fields.unreadMs));
  assert.equal(unread.filter((ms) => ms >= 500).length, 5, unread.join(' '));
  await until('caught up', () => world.events.includes('entry-caught-up'));
  await world.call({ path: '/look/1', method: 'GET' });
  const last = world.log.events.findLast(({ event }) => event === 'request-ended');
  assert.ok(Number(last?.fields.unreadMs) < 500);
  assert.ok(Number(last?.fields.placedMs) <= Number(last?.fields.sentMs));
});

// A winch driver's entry is overdue at its route's limit and stays without an answer: its time began when it was read.
test('the time of a request that lay unread counts from when it arrived', async (t) => {
  const world = await World.start(t);
  world.behave('p', 'silent');
  const sentAt = performance.now();
  const answers = [1, 2].map((n) => {
    return world.call({ path: `/book/${String(n)}`, headers: { 'x-deadline-ms': '4000' } });
  });
  holdUp(1_000);
  for (const answer of await Promise.all(answers)) assert.equal(answer.status, 504);
  const tookMs = performance.now() - sentAt;
  assert.ok(tookMs >= ROUTE_MS - SLACK_MS && tookMs < ROUTE_MS + SLACK_MS, `${String(tookMs)} ms`);
});

// Requests go round a healthy server: its answer lay unread in an instance that was behind.
test('a server whose answer had arrived is not taken for silent', async (t) => {
  const world = await World.start(t);
  for (const server of world.servers)
    server.afterAnswer = () => {
      holdUp(600);
    };
  assert.equal((await world.call({ path: '/book/1' })).status, 200);
  assert.equal(world.events.includes('server-silent'), false);
});

// A volunteer reads that the time is over beside an answer that was ready: the instance looked at the clock first.
test('an answer that had arrived when the time of its request was over is delivered', async (t) => {
  const world = await World.start(t);
  for (const server of world.servers)
    server.afterAnswer = () => {
      holdUp(400);
    };
  const answer = await world.call({ path: '/book/1', headers: { 'x-deadline-ms': '300' } });
  assert.equal(answer.status, 200);
});
