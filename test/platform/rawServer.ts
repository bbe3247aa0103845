/** A backend server that writes bytes as they are, alone in its service. */

import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { untilListed } from './streamWorld.js';
import { World, configWith } from './world.js';

/** Maximum size of a request's body in the configuration of these tests, in bytes. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;
const ID = 'odd';

/** A route of each kind. */
export const routes = [
  { path: '/book/1', service: 'ledger', name: 'a plain request that may run once' },
  { path: '/look/1', service: 'ledger', name: 'a plain request that may be repeated' },
  { path: '/chat/1', service: 'llm', name: 'a stream that may run once' },
  { path: '/draft/1', service: 'llm', name: 'a stream that may be resumed' },
];

/** Answers a request whose head has arrived. */
export type ServerAnswer = (socket: Socket, requestId: string) => void | Promise<void>;

/** Starts a server that is the only one of its service. */
export async function startAlone(
  t: TestContext,
  service: string,
  answer: ServerAnswer,
): Promise<World> {
  const limits = { max_body_bytes: MAX_BODY_BYTES };
  const world = await World.start(t, configWith({ limits }));
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    let head = '';
    socket.on('data', (chunk: Buffer) => {
      head += chunk.toString('latin1');
      const end = head.indexOf('\r\n\r\n');
      if (end === -1) return;
      const requestId = /x-request-id: (\S+)/i.exec(head)?.[1];
      head = '';
      // the rest of an upload has no id.
      if (requestId !== undefined) void answer(socket, requestId);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const [first] = world.servers;
  assert.ok(first);
  for (const { id } of world.servers) world.store.remove('servers', id);
  const address = `127.0.0.1:${String(port)}`;
  world.store.put('servers', ID, first.entry(service, { address }));
  await untilListed([world]);
  return world;
}

/** Sends a request of the kind of its route. */
export function callRoute(world: World, path: string, body: string): ReturnType<World['call']> {
  const headers = path.startsWith('/chat') || path.startsWith('/draft') ? GENERATION : {};
  return world.call({ path, body, headers });
}

const GENERATION = { 'x-model': 'm', 'x-token-usage': '100,40', 'x-prompt-prefix': 'abc:100' };

/** Head of a server's own response. */
export function ownHead(status: string, id: string, ...more: string[]): string {
  const lines = [`HTTP/1.1 ${status}`, `X-Request-Id: ${id}`, 'X-Response-Signature: s', ...more];
  return `${lines.join('\r\n')}\r\n\r\n`;
}
