import assert from 'node:assert/strict';
import { test } from 'node:test';
import { blockEventLoop } from './blockEventLoop.js';
import { World, until } from './world.js';

/** Timeout of the routes in milliseconds. */
const ROUTE_MS = 1_500;
/** Milliseconds by which an answer may miss the timeout; the requirements allow half a second. */
const SLACK_MS = 500;

// Guards against delays that the log cannot explain, such as two seconds between caller and server.
test('a request that waited unread logs an upper bound of the wait', async (t) => {
  const world = await World.start(t);
  const callers = Array.from({ length: 5 }, () => world.call({ path: '/look/1', method: 'GET' }));
  blockEventLoop(600);
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

// Guards against answers after the timeout of the route, because the timeout started when the request was read.
test('the timeout of a request that waited unread starts at its arrival', async (t) => {
  const world = await World.start(t);
  world.behave('p', 'silent');
  const sentAt = performance.now();
  const answers = [1, 2].map((n) => {
    return world.call({ path: `/book/${String(n)}`, headers: { 'x-deadline-ms': '4000' } });
  });
  blockEventLoop(1_000);
  for (const answer of await Promise.all(answers)) assert.equal(answer.status, 504);
  const tookMs = performance.now() - sentAt;
  assert.ok(tookMs >= ROUTE_MS - SLACK_MS && tookMs < ROUTE_MS + SLACK_MS, `${String(tookMs)} ms`);
});

// Guards against avoiding a healthy server because its answer waited unread in an overloaded instance.
test('a server whose answer has arrived is not taken for silent', async (t) => {
  const world = await World.start(t);
  for (const server of world.servers)
    server.afterAnswer = () => {
      blockEventLoop(600);
    };
  assert.equal((await world.call({ path: '/book/1' })).status, 200);
  assert.equal(world.events.includes('server-silent'), false);
});

// Guards against a timeout error although the answer had arrived, because the instance checked the clock first.
test('an answer that arrived before the timeout of its request is delivered', async (t) => {
  const world = await World.start(t);
  for (const server of world.servers)
    server.afterAnswer = () => {
      blockEventLoop(400);
    };
  const answer = await world.call({ path: '/book/1', headers: { 'x-deadline-ms': '300' } });
  assert.equal(answer.status, 200);
});
