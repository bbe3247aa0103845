import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { World, until } from './world.js';

const generation = { 'X-Model': 'm', 'X-Token-Usage': '1000,80', 'X-Prompt-Prefix': 'a1:300' };

// Guards against servers that work for callers that have disconnected: the event that the request waited for
// was processed before the end of the caller's connection.
describe('a request whose caller disconnects at the moment its wait ends', () => {
  const kinds = [
    { kind: 'that may be repeated', path: '/look/1', servers: 'p', headers: {} },
    { kind: 'that must not be repeated', path: '/book/1', servers: 'p', headers: {} },
    { kind: 'for a generation', path: '/chat/1', servers: 'e', headers: generation },
    { kind: 'for a resumable generation', path: '/draft/1', servers: 'e', headers: generation },
  ] as const;
  for (const { kind, path, servers, headers } of kinds) {
    test(`${kind}, for a connection, reaches no server`, async (t) => {
      const world = await World.start(t);
      world.behave('e', 'stream');
      for (let sent = 1; sent <= 4; sent += 1) {
        const caller = await world.sendOpen(path, headers);
        let connected = 0;
        for (const server of world.servers) {
          server.onConnection = () => {
            connected += 1;
            caller.destroy();
          };
        }
        await until('the caller has left', () => connected > 0);
        await until('it has ended', () => world.ended('gone') === sent);
      }
      assert.equal(world.seen(servers).length, 0);
    });
  }

  test('for an answer after which it would be retried, reaches no other server', async (t) => {
    const world = await World.start(t);
    const warm = Array.from({ length: 10 }, () => world.call({ path: '/look/1', method: 'GET' }));
    await Promise.all(warm);
    world.behave('p', 'shed');
    const before = world.seen('p').length;
    for (let sent = 1; sent <= 4; sent += 1) {
      const caller = await world.sendOpen('/look/1');
      for (const server of world.servers) server.afterAnswer = () => caller.destroy();
      await until('it has ended', () => world.ended('gone') === sent);
      assert.equal(world.seen('p').length - before, sent);
    }
  });

  test('for tokens, reaches no server', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'stream');
    const warm = Array.from({ length: 6 }, () => world.generate('/chat/1', 10));
    await Promise.all(warm);
    const before = world.seen('e').length;
    const caller = await world.sendOpen('/chat/1', { ...generation, 'X-Token-Usage': '90000,80' });
    let granted = false;
    world.store.afterChange = (kind) => {
      if (kind === 'prepaid-budgets') granted = true;
      // the tokens are available after the write to the page.
      else if (granted) caller.destroy();
    };
    await until('it has ended', () => world.ended('gone') === 1);
    assert.equal(world.seen('e').length, before);
  });

  test('for a place, reaches no server', async (t) => {
    const world = await World.start(t);
    world.behave('e', 'hold');
    const running = Array.from({ length: 8 }, () => world.generate('/chat/1'));
    await until('all places are taken', () => world.seen('e').length === 8);
    const caller = await world.sendOpen('/chat/1', generation);
    await delay(100);
    world.server('e1').release();
    caller.destroy();
    await until('it has ended', () => world.ended('gone') === 1);
    assert.equal(world.seen('e').length, 8);
    world.server('e1').release();
    world.server('e2').release();
    await Promise.all(running);
  });
});
