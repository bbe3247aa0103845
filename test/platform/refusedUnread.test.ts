import assert from 'node:assert/strict';
import { once } from 'node:events';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { slowEventLoop } from './blockEventLoop.js';
import { World } from './world.js';

/** Milliseconds of an iteration of the event loop, each of which accepts one connection. */
const ITERATION_MS = 60;
/** Callers, and milliseconds between two of them: twice as many as are read. */
const CALLERS = 80;
const INTERVAL_MS = 40;

/** What one caller's connection received until it was closed. */
interface Received {
  text: string;
}

/** Sends one request on each of many connections while the event loop is slow. */
async function crowd(world: World): Promise<Received[]> {
  const restoreSpeed = slowEventLoop(ITERATION_MS);
  const callers: Promise<Received>[] = [];
  for (let sent = 0; sent < CALLERS; sent += 1) {
    callers.push(callOnce(world));
    await delay(INTERVAL_MS);
  }
  await delay(1_000);
  restoreSpeed();
  return Promise.all(callers);
}

async function callOnce(world: World): Promise<Received> {
  const received = { text: '' };
  const socket = await world.sendOpen('/book/1', { connection: 'close' }).catch(() => undefined);
  if (!socket) return received;
  socket
    .on('error', () => undefined)
    .on('data', (chunk: Buffer) => {
      received.text += chunk.toString('latin1');
    });
  if (!socket.destroyed) await once(socket, 'close').catch(() => undefined);
  return received;
}

describe('connections that waited too long in an overloaded instance', () => {
  // Guards against callers who are closed without learning why, and against refused requests that run all the same.
  test('are refused in part, with a spread time for a retry, and none of these has run', async (t) => {
    const world = await World.start(t, undefined, { terms: ['pressure'] });
    const all = await crowd(world);
    const refused = all.filter(({ text }) => text.includes('"overloaded"'));
    assert.ok(refused.length > 0);
    for (const { text } of refused) {
      assert.match(text, /^HTTP\/1\.1 503 Service Unavailable\r\n/);
      assert.match(text, /\r\nconnection: close\r\n/);
      assert.match(text, /"run":"not-run"/);
      const after = Number(/\r\nretry-after: (\S+)\r\n/.exec(text)?.[1]);
      assert.ok(after >= 0.1 && after <= 0.2, String(after));
    }
    assert.ok(world.seen('p').length <= CALLERS - refused.length);
    const counted = /connections_refused_unread_total (\d+)/.exec(await world.metrics())?.[1];
    assert.equal(Number(counted), refused.length);
  });

  // Guards against a change for deployments that do not call for it.
  test('are closed in a deployment that does not call for refusals', async (t) => {
    const world = await World.start(t);
    const all = await crowd(world);
    assert.equal(all.filter(({ text }) => text.includes('"overloaded"')).length, 0);
  });
});
