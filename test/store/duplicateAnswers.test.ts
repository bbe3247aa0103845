import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { HttpObjectStore } from '@flamingocourse/store';
import type { Note } from './fixtures.js';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, test } from 'node:test';
import { connect, notes } from './fixtures.js';

/** Milliseconds after which a connection is idle and a duplicate on it was read. */
const IDLE_MS = 30;
/** Version of object `a` when it was first read. */
const A_VERSION = '2';
/** Version of no object, so that a conditional update is refused. */
const OLD_VERSION = '1';

/** A store that keeps one revision counter and can send its last response on a connection again. */
class DuplicatingStore {
  readonly #objects = new Map<string, { text: string; revision: number }>();
  readonly #last = new WeakMap<Socket, string>();
  readonly #connections = new Set<Socket>();
  #revision = 1;
  url = '';
  /** Whether the next response is preceded by a duplicate of the last one on its connection. */
  sendsAgain = false;

  async listen(t: TestContext): Promise<this> {
    const server = createServer((socket) => {
      this.#connections.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', (request: Buffer) => {
        this.#answer(request.toString(), socket);
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.after(() => {
      server.close();
      for (const socket of this.#connections) socket.destroy();
    });
    this.url = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    return this;
  }

  put(name: string, text: string): void {
    this.#revision += 1;
    this.#objects.set(name, { text, revision: this.#revision });
  }

  /** Sends the last response of each idle connection again. */
  sendIdle(): void {
    for (const socket of this.#connections) socket.write(this.#last.get(socket) ?? '');
  }

  #answer(request: string, socket: Socket): void {
    const [, method = '', path = ''] = /^(\S+) (\S+)/.exec(request) ?? [];
    const [, , , , , name] = path.split('/');
    const body = request.slice(request.indexOf('\r\n\r\n') + 4);
    const [status, value] = this.#serve(method, name, body);
    const text = JSON.stringify(value);
    const head = `HTTP/1.1 ${String(status)} X\r\nContent-Length: ${String(text.length)}\r\n\r\n`;
    const again = this.sendsAgain ? (this.#last.get(socket) ?? '') : '';
    this.sendsAgain = false;
    this.#last.set(socket, `${head}${text}`);
    socket.write(`${again}${head}${text}`);
  }

  #serve(method: string, name: string | undefined, body: string): [number, unknown] {
    if (name === undefined) return this.#create(body);
    const known = this.#objects.get(name);
    if (!known) return [404, {}];
    if (method === 'PUT') {
      const next = JSON.parse(body) as { metadata: { resourceVersion: string }; value: Note };
      if (Number(next.metadata.resourceVersion) !== known.revision) return [409, {}];
      if (next.value.text !== known.text) this.put(name, next.value.text);
    }
    return [200, this.#object(name)];
  }

  #create(body: string): [number, unknown] {
    const { metadata, value } = JSON.parse(body) as { metadata: { name: string }; value: Note };
    this.put(metadata.name, value.text);
    return [200, this.#object(metadata.name)];
  }

  #object(name: string): unknown {
    const { text = '', revision = 0 } = this.#objects.get(name) ?? {};
    return { metadata: { name, resourceVersion: String(revision) }, value: { text } };
  }
}

function outcome(result: Awaited<ReturnType<HttpObjectStore['get']>>): string {
  if (result.isErr) return `${result.error.code}, effect ${result.error.effect}`;
  const { name, value } = result.value;
  return `${name}=${(value as Note).text}`;
}

async function read(store: HttpObjectStore, name: string): Promise<string> {
  return outcome(await store.get(notes, name));
}

interface Case {
  name: string;
  /** Call whose response is preceded by a duplicate of the one to `get` of object `a`. */
  call: (store: HttpObjectStore) => Promise<string>;
  expected: string;
}

const cases: Case[] = [
  { name: 'a read', call: (store) => read(store, 'b'), expected: 'unreachable, effect none' },
  {
    name: 'a create',
    call: async (store) => outcome(await store.create(notes, 'c', { text: 'new' })),
    expected: 'unreachable, effect unknown',
  },
  {
    name: 'an update of another object',
    call: async (store) => outcome(await store.update(notes, 'b', OLD_VERSION, { text: 'new' })),
    expected: 'unreachable, effect unknown',
  },
  {
    name: 'an update of the same object',
    call: async (store) => outcome(await store.update(notes, 'a', A_VERSION, { text: 'new' })),
    expected: 'unreachable, effect unknown',
  },
];

// Guards against a call that takes a late duplicate for its own response: an object of another name, or a
// conditional update that counts as done although the store refused it.
describe('a late duplicate of another response is no response to', () => {
  for (const { name, call, expected } of cases) {
    test(name, async (t) => {
      const server = await new DuplicatingStore().listen(t);
      const store = connect(t, server.url);
      server.put('a', '1');
      server.put('b', '2');
      assert.equal(await read(store, 'a'), 'a=1');
      // another writer's change, so that conditional updates of `a` are refused.
      server.put('a', '3');
      server.sendsAgain = true;
      assert.equal(await call(store), expected);
      assert.equal(await read(store, 'b'), 'b=2');
    });
  }
});

// Guards against responses that are all read one call late after a duplicate on an idle connection.
test('a duplicate on an idle connection is no response to the next call', async (t) => {
  const server = await new DuplicatingStore().listen(t);
  const store = connect(t, server.url);
  server.put('a', '1');
  server.put('b', '2');
  assert.equal(await read(store, 'a'), 'a=1');
  server.sendIdle();
  await delay(IDLE_MS);
  assert.equal(await read(store, 'b'), 'b=2');
});

// Guards against an update that counts as lost because it changed nothing, so that the store kept the version.
test('an update that changes nothing succeeds', async (t) => {
  const server = await new DuplicatingStore().listen(t);
  const store = connect(t, server.url);
  server.put('a', '1');
  const updated = await store.update(notes, 'a', A_VERSION, { text: '1' });
  assert.equal(outcome(updated), 'a=1');
});
