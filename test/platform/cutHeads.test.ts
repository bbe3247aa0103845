import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { describe, test } from 'node:test';
import { createLink } from '../../packages/lab/src/node/link/index.js';
import { World, until } from './world.js';

const PROOF = 'X-Response-Signature: s\r\n';
const HEAD = `HTTP/1.1 200 OK\r\n${PROOF}Content-Type: text/plain\r\n`;
const EVENTS =
  'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n';
const EVENT = 'id: 1\ndata: piece\n\n';
const CHUNK = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;

/** Answers that stop before they are whole; `ID` stands for the line with the request's id. */
const answers = {
  'in the status line': 'HTTP/1.1 20',
  'after the status': 'HTTP/1.1 200',
  'after the status line': 'HTTP/1.1 200 OK\r\n',
  'in the name of a field': `${HEAD}IDContent-Le`,
  'in the value of the length': `${HEAD}IDContent-Length: 1`,
  'after the length': `${HEAD}IDContent-Length: 10\r\n`,
  'in the name of the transfer coding': `${HEAD}IDTransfer-Enc`,
  'in the value of the transfer coding': `${HEAD}IDTransfer-Encoding: chu`,
  'before the empty line': `${HEAD}IDTransfer-Encoding: chunked\r\n`,
  'in the empty line': `${HEAD}IDContent-Length: 10\r\n\r`,
  'after a head with a length': `${HEAD}IDContent-Length: 10\r\n\r\n`,
  'after a head of chunks': `${HEAD}IDTransfer-Encoding: chunked\r\n\r\n`,
  'in a size of a chunk': `${HEAD}IDTransfer-Encoding: chunked\r\n\r\n1`,
  'before the last chunk': `${HEAD}IDTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n`,
  'in the last chunk': `${HEAD}IDTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n`,
  'in the head of a stream': `${EVENTS}ID${PROOF}`,
  'after the head of a stream': `${EVENTS}ID${PROOF}\r\n`,
  'after the first event of a stream': `${EVENTS}ID${PROOF}\r\n${CHUNK}`,
  'in the second event of a stream': `${EVENTS}ID${PROOF}\r\n${CHUNK}${CHUNK.slice(0, 12)}`,
};
const places = Object.keys(answers) as (keyof typeof answers)[];
const ends = ['closed', 'closed after single bytes', 'reset'] as const;
type End = (typeof ends)[number];
/** Requests that run once, that may be repeated, streams, and streams that may be resumed. */
const paths = ['/book/1', '/look/1', '/chat/1', '/draft/1'];
/** Calls at a time, so that none is refused for want of room. */
const AT_ONCE = 4;

/** A server that stops at the place that the id of a request names: `PLACE.END.PATH`. */
class CutServer {
  /** Ids of the requests that it got. */
  readonly ids = new Set<string>();
  readonly #open = new Set<Socket>();
  address = '';

  async listen(t: TestContext): Promise<this> {
    const server = createServer((socket) => {
      this.#open.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#open.delete(socket));
      socket.on('data', (request: Buffer) => {
        const [, id = ''] = /x-request-id: (\S+)/i.exec(request.toString()) ?? [];
        if (id !== '') void this.#answer(socket, id);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.after(() => {
      server.close();
      for (const socket of this.#open) socket.destroy();
    });
    this.address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    return this;
  }

  async #answer(socket: Socket, id: string): Promise<void> {
    this.ids.add(id);
    const [place, end] = id.split('.').map(Number);
    const [name] = places.slice(place);
    const text = name === undefined ? '' : answers[name].replace('ID', `X-Request-Id: ${id}\r\n`);
    await write(socket, text, ends[end ?? 0] ?? 'closed');
  }
}

async function write(socket: Socket, text: string, end: End): Promise<void> {
  const parts = end === 'closed after single bytes' ? text.split(/(?=.)/s) : [text];
  for (const part of parts) await new Promise((resolve) => socket.write(part, resolve));
  if (end === 'reset') socket.resetAndDestroy();
  else socket.end();
}

/** Replaces all servers by one that stops early, which `world` reaches directly or through a peer. */
async function startWith(
  t: TestContext,
  way: 'directly' | 'through a peer',
): Promise<[World, CutServer]> {
  const server = await new CutServer().listen(t);
  const near = await World.start(t, undefined, { mesh: true });
  near.behave('e', 'stream');
  const [host = '', port] = server.address.split(':');
  const link = await createLink({ target: { host, port: Number(port) } });
  t.after(() => link.close());
  const url = await near.store.listenView(t, (kind, spec) => {
    const isCut =
      kind === 'servers' && (spec as { address?: string } | null)?.address === server.address;
    return isCut ? { ...(spec as object), address: `127.0.0.1:${String(link.port)}` } : spec;
  });
  const far = await near.join(t, 'edge-2', { mesh: true, store: { url } });
  await far.allKnow([near, far]);
  link.setCut('reset');
  for (const [id, service] of [
    ['p1', 'ledger'],
    ['e1', 'llm'],
  ] as const) {
    near.store.put(
      'servers',
      id,
      near.server(id).entry(service, { address: server.address, slots: 64 }),
    );
    near.store.remove('servers', id.replace('1', '2'));
  }
  const world = way === 'directly' ? near : far;
  await until('listed', () => {
    const last = world.log.events.findLast(({ event }) => event === 'servers-changed');
    return last?.fields.servers === 2;
  });
  return [world, server];
}

// Guards against an answer that a server broke off, and that the caller gets as a whole one.
describe('an answer that stops early is never whole', () => {
  for (const way of ['directly', 'through a peer'] as const) {
    test(way, async (t) => {
      const [world, server] = await startWith(t, way);
      const ids = places.flatMap((_place, at) => {
        return ends.flatMap((_end, end) =>
          paths.map((path) => ({ path, id: `${String(at)}.${String(end)}.${path.slice(1, 5)}` })),
        );
      });
      const whole: string[] = [];
      for (let at = 0; at < ids.length; at += AT_ONCE) {
        const calls = ids.slice(at, at + AT_ONCE).map(async ({ id, path }) => {
          const { status, complete } = await world.generate(path, 100, { 'x-request-id': id });
          if (status < 400 && complete) whole.push(`${id}: ${String(status)}`);
          if (status === 503) assert.ok(!server.ids.has(id), `${id} was sent`);
        });
        await Promise.all(calls);
      }
      assert.deepEqual(whole, []);
      const reached = new Set([...server.ids].map((id) => id.split('.')[0]));
      assert.equal(reached.size, places.length, 'each place was reached');
    });
  }
});
