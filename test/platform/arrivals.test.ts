import assert from 'node:assert/strict';
import { test } from 'node:test';
import { blockEventLoop, slowEventLoop } from './blockEventLoop.js';
import { RawCaller } from './rawCaller.js';
import { HOST, KEY, World, until } from './world.js';

/** Timeout of the routes in milliseconds. */
const ROUTE_MS = 1_500;
/** Milliseconds by which an answer may miss the timeout; the requirements allow half a second. */
const SLACK_MS = 500;
/** Connections that wait to be accepted, and the milliseconds of an iteration that accepts one. */
const WAITING = 20;
const ITERATION_MS = 60;

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

// Guards against requests held past their timeout, because their connections waited to be accepted one in each iteration.
test('the timeout of a request starts before its connection was accepted', async (t) => {
  const world = await World.start(t);
  world.behave('p', 'silent');
  const restoreSpeed = slowEventLoop(ITERATION_MS);
  const sentAt = performance.now();
  const callers = await Promise.all(
    Array.from({ length: WAITING }, () => RawCaller.connect(world.entryPort)),
  );
  callers.forEach((caller, at) => {
    caller.send({ id: `w-${String(at)}`, path: `/book/${String(at)}`, waitMs: 4_000 });
  });
  await Promise.all(callers.map((caller) => caller.ended));
  restoreSpeed();
  const tookMs = performance.now() - sentAt;
  assert.ok(tookMs < ROUTE_MS + SLACK_MS, `${String(Math.round(tookMs))} ms`);
});

// Guards against requests held past their timeout, because it started when the body had been read.
test('a request whose body is not complete at its timeout is refused then', async (t) => {
  const world = await World.start(t);
  const caller = await RawCaller.connect(world.entryPort);
  const sentAt = performance.now();
  caller.socket.write(
    `POST /look/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 4000\r\n` +
      `Authorization: Token ${KEY}\r\nContent-Length: 3\r\n\r\nx`,
  );
  const restOfBody = setTimeout(() => caller.socket.write('=1'), 2 * ROUTE_MS);
  await caller.ended;
  clearTimeout(restOfBody);
  const tookMs = performance.now() - sentAt;
  assert.deepEqual(caller.statuses, [503]);
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
