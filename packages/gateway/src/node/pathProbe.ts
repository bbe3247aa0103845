/** Asks a server over a given connection whether it answers. */

import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { GatewayContext } from '../types/context.js';
import type { DirectoryServer } from './serverDirectory.js';
import { Agent } from 'node:http';
import { openAttempt } from './httpAttempt.js';

/** Milliseconds for the answer; a busy server may queue the health check. */
const ANSWER_MS = 400;
const NO_BODY = Buffer.alloc(0);

/** Agent of one connection that is open already. */
class OpenConnectionAgent extends Agent {
  readonly #socket: Socket;

  constructor(socket: Socket) {
    super({ keepAlive: false });
    this.#socket = socket;
  }

  override createConnection(): Duplex {
    return this.#socket;
  }
}

/**
 * Sends a health check and closes the connection.
 *
 * @returns Whether the server answered, with whatever status.
 * @example
 * if (await answersOn(socket, context, server, '/health')) pathWorks();
 */
export async function answersOn(
  socket: Socket,
  { dialects }: GatewayContext,
  { id, url }: DirectoryServer,
  target: string,
): Promise<boolean> {
  const opened = await openAttempt({
    url,
    method: 'GET',
    target,
    headers: dialects.servers.healthHeaders(id, new URL(url).host),
    body: NO_BODY,
    agent: new OpenConnectionAgent(socket),
    connectMs: ANSWER_MS,
    headMs: ANSWER_MS,
    signal: AbortSignal.timeout(ANSWER_MS),
  });
  socket.destroy();
  if (opened.isErr) return false;
  opened.value.drop();
  return dialects.servers.judgeHealth(id, opened.value.head) !== 'gone';
}
