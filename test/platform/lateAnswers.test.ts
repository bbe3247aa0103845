import type { Socket } from 'node:net';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { World, until } from './world.js';

/** Id of a request that the server has answered before. */
const EARLIER = 'X-Request-Id: earlier\r\n';

/** An answer without a body. */
function emptyAnswer(status: number, headers: string): string {
  return `HTTP/1.1 ${String(status)} Late\r\n${headers}Content-Length: 0\r\n\r\n`;
}

// Guards against a late answer of an earlier request that ends a running one, above all as not run.
describe('a late answer in front of the own one is skipped if it names another request, and promises nothing', () => {
  const cases: { name: string; bytes: string; status: number }[] = [
    {
      name: 'a rejection',
      bytes: emptyAnswer(503, `${EARLIER}X-Not-Executed: full\r\n`),
      status: 200,
    },
    {
      name: 'a rejection as too many',
      bytes: emptyAnswer(429, `${EARLIER}X-Not-Executed: 1\r\n`),
      status: 200,
    },
    { name: 'a rejection by another server', bytes: emptyAnswer(421, EARLIER), status: 200 },
    {
      name: 'a rejection without an id',
      bytes: emptyAnswer(503, 'X-Not-Executed: full\r\n'),
      status: 502,
    },
    {
      name: 'another server, without an id',
      bytes: emptyAnswer(421, 'X-Instance-Id: p9\r\n'),
      status: 502,
    },
    { name: 'a failure', bytes: emptyAnswer(500, EARLIER), status: 200 },
    { name: 'a failure without an id', bytes: emptyAnswer(404, ''), status: 502 },
    {
      name: 'a success',
      bytes: emptyAnswer(200, `${EARLIER}X-Response-Signature: s\r\n`),
      status: 200,
    },
  ];
  for (const { name, bytes, status } of cases) {
    test(`${name}: ${String(status)}`, async (t) => {
      const world = await World.start(t);
      for (const id of ['p1', 'p2']) world.server(id).extra = () => bytes;
      const answer = await world.call({ path: '/book/1' });
      assert.equal(answer.status, status);
      if (status === 200) assert.match(answer.body, /^from p[12]$/);
      assert.equal(world.seen('p').length, 1);
    });
  }
});

// Guards against a failure that callers get as a success: the status line of a truncated response, and the fields and body of the own one.
describe('a late response that breaks off in its head does not lend its status to the own one', () => {
  const cases = [
    { name: 'in the reason', bytes: 'HTTP/1.1 200 O' },
    { name: 'in the value', bytes: 'HTTP/1.1 200 OK\r\nX-Note: cut' },
    { name: 'before the value', bytes: 'HTTP/1.1 200 OK\r\nX-Note:' },
    {
      name: 'after an earlier whole one',
      bytes: `${emptyAnswer(200, EARLIER)}HTTP/1.1 200 OK\r\nX-Note: `,
    },
  ];
  for (const { name, bytes } of cases) {
    test(name, async (t) => {
      const world = await World.start(t);
      world.behave('p', 'error');
      for (const id of ['p1', 'p2']) world.server(id).extra = () => bytes;
      const { status } = await world.call({ path: '/book/1' });
      assert.equal(status, 502);
      assert.equal(world.seen('p').length, 1);
    });
  }
});

// Guards against a late copy of a rejection that ends a further attempt of the same request, whose id it bears.
describe('a late copy of a rejection does not end a further attempt of its request', () => {
  for (const path of ['/book/1', '/look/1']) {
    test(path, async (t) => {
      const world = await World.start(t);
      const server = world.server('p1');
      world.store.remove('servers', 'p2');
      await until('one is left', () => {
        return (
          world.log.events.findLast(({ event }) => event === 'servers-changed')?.fields.servers ===
          3
        );
      });
      let rejectedOn: Socket | undefined;
      server.behaviour = 'shed';
      // the further attempt waits, so the connection of the first one is idle by then.
      server.rest = '0.05';
      server.afterAnswer = () => (server.behaviour = 'answer');
      server.extra = ({ socket, headers }) => {
        if (rejectedOn !== socket) {
          rejectedOn ??= socket;
          return '';
        }
        const id = `X-Request-Id: ${String(headers['x-request-id'])}\r\n`;
        return emptyAnswer(503, `${id}X-Not-Executed: full\r\n`);
      };
      const { status, body } = await world.call({ path });
      assert.deepEqual({ status, body }, { status: 200, body: 'from p1' });
      assert.deepEqual(
        server.seen.map(({ ran }) => ran),
        [false, true],
      );
    });
  }
});

// Guards against a failure without events whose head is sent at once and followed by events of another server, or cut.
describe('a failure that a server answers to a request for a stream is passed on whole', () => {
  for (const path of ['/chat/1', '/draft/1']) {
    test(path, async (t) => {
      const world = await World.start(t);
      world.behave('e', 'hold');
      for (const id of ['e1', 'e2']) {
        world.server(id).extra = ({ headers }) => {
          const own = `X-Request-Id: ${String(headers['x-request-id'])}\r\nX-Response-Signature: s\r\n`;
          return `HTTP/1.1 404 Not Found\r\n${own}Content-Length: 7\r\n\r\nno such`;
        };
      }
      const { status, body, complete } = await world.generate(path);
      assert.deepEqual(
        { status, body, complete },
        { status: 404, body: 'no such', complete: true },
      );
      assert.equal(world.seen('e').length, 1);
    });
  }
});

// Guards against a truncated body whose rest is the beginning of the response that the server sends again.
test('a body that breaks off is not filled up by the same answer, sent again', async (t) => {
  const world = await World.start(t);
  world.behave('p', 'silent');
  for (const id of ['p1', 'p2']) {
    world.server(id).extra = ({ socket, headers }) => {
      const own = `X-Request-Id: ${String(headers['x-request-id'])}\r\nX-Response-Signature: s\r\n`;
      const head = `HTTP/1.1 200 OK\r\n${own}Content-Length: 60\r\n\r\n`;
      setTimeout(() => socket.write(`${head}${'y'.repeat(60)}`), 30);
      return `${head}${'y'.repeat(20)}`;
    };
  }
  const { status, body } = await world.call({ path: '/book/1' });
  assert.equal(status, 502, body);
});
