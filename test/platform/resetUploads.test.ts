import type { ServerAnswer } from './rawServer.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { MAX_BODY_BYTES, callRoute, ownHead, routes, startAlone } from './rawServer.js';

const STREAM = 'Content-Type: text/event-stream';
const part = 'id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n';

const resets: { name: string; answer: ServerAnswer }[] = [
  {
    name: 'resets the connection at once',
    answer: (socket, id) => {
      socket.write(ownHead('200 OK', id, STREAM) + part, () => socket.resetAndDestroy());
    },
  },
  {
    name: 'resets the connection a little later',
    answer: async (socket, id) => {
      socket.pause();
      socket.write(ownHead('200 OK', id, STREAM) + part);
      await delay(50);
      socket.resetAndDestroy();
    },
  },
  {
    name: 'closes the connection with the upload unread',
    answer: async (socket, id) => {
      socket.pause();
      socket.write(ownHead('200 OK', id, STREAM) + part);
      await delay(50);
      socket.destroy();
    },
  },
  {
    name: 'ends the connection and resets it then',
    answer: async (socket, id) => {
      socket.pause();
      socket.end(ownHead('200 OK', id, STREAM) + part);
      await delay(50);
      socket.resetAndDestroy();
    },
  },
];

// Guards against a part of a response that is taken for the whole one, because its server resets the connection
// while the upload is still being written.
describe(
  'a server answers a long upload at once, without a length, and',
  { concurrency: 4 },
  () => {
    for (const { name, answer } of resets) {
      for (const { path, service, name: request } of routes) {
        test(`${name}: ${request} gets no complete answer`, async (t) => {
          const world = await startAlone(t, service, answer);
          const { status, complete, body } = await callRoute(
            world,
            path,
            'x'.repeat(MAX_BODY_BYTES),
          );
          t.diagnostic(`${String(status)}, complete ${String(complete)}, ${body.slice(0, 60)}`);
          assert.ok(status !== 200 || !complete, 'a part was passed on as the whole response');
          assert.ok(
            status === 200 || status === 0 || status === 502 || status === 504,
            String(status),
          );
        });
      }
    }
  },
);
