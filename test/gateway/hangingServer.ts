/** A server whose queue of new connections is full, so that connecting to it hangs. */

import type { TestContext } from 'node:test';
import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

/** Milliseconds after which a connection that is not open counts as hanging. */
const HANGS_MS = 100;

const listenAndBlock = `
  const { parentPort } = require('node:worker_threads');
  const server = require('node:net').createServer();
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });
`;

/** Starts the server; returns its URL. */
export async function startHangingServer(t: TestContext): Promise<string> {
  const worker = new Worker(listenAndBlock, { eval: true });
  t.after(() => worker.terminate());
  const [port] = (await once(worker, 'message')) as [number];
  while (await connects(t, port));
  return `http://127.0.0.1:${String(port)}`;
}

/** Opens a connection that is kept until the test ends; returns whether it was opened. */
async function connects(t: TestContext, port: number): Promise<boolean> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  t.after(() => socket.destroy());
  return Promise.race([once(socket, 'connect').then(() => true), delay(HANGS_MS, false)]);
}
