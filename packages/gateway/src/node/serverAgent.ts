/** Connections to backend servers that are kept between requests. */

import type { Duplex } from 'node:stream';
import { Agent } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { Socket } from 'node:net';

/** Milliseconds before a server's own limit at which an idle connection is given up. */
const IDLE_MARGIN_MS = 1_000;
/** Milliseconds that a connection is kept whose server doesn't say how long it may be idle. */
const UNKNOWN_IDLE_MS = 2_000;
const MS_PER_SECOND = 1_000;

/**
 * Keeps idle connections only while they can be trusted.
 *
 * A server closes an idle connection at its own limit. A request that is sent in that moment may
 * have run or not, and one that must not run twice is lost then; so a connection is given up well
 * before. Bytes that come while no request is waiting belong to no request, and the next answer
 * would begin in the middle of them; so such a connection is closed.
 */
export class ServerAgent extends Agent {
  constructor() {
    super({ keepAlive: true, maxFreeSockets: 256, scheduling: 'lifo' });
  }

  /** Returns whether the connection is kept. */
  override keepSocketAlive(stream: Duplex): boolean {
    if (!(stream instanceof Socket)) return false;
    const idleMs = allowedIdleMs(stream);
    if (idleMs <= 0) return false;
    stream.setKeepAlive(true, UNKNOWN_IDLE_MS);
    stream.unref();
    stream.setTimeout(idleMs);
    stream.on('data', destroySender);
    return true;
  }

  /** Whether any connection to an address is open, idle or in use. */
  isConnectedTo(host: string, port: string): boolean {
    const name = this.getName({ host, port: Number(port) });
    const sockets = [...(this.sockets[name] ?? []), ...(this.freeSockets[name] ?? [])];
    return sockets.some((socket) => !socket.destroyed && !socket.connecting);
  }

  override reuseSocket(stream: Duplex, req: ClientRequest): void {
    stream.removeListener('data', destroySender);
    super.reuseSocket(stream, req);
  }
}

function destroySender(this: Socket): void {
  this.destroy();
}

/** Milliseconds for which a connection may stay idle, from the last answer on it. */
function allowedIdleMs(socket: Socket): number {
  const { _httpMessage: message } = socket as { _httpMessage?: { res?: IncomingMessage } };
  const hint = message?.res?.headers['keep-alive'];
  const seconds = /(?:^|[\s,])timeout=(\d+)/i.exec(typeof hint === 'string' ? hint : '')?.[1];
  if (seconds === undefined) return UNKNOWN_IDLE_MS;
  return Number(seconds) * MS_PER_SECOND - IDLE_MARGIN_MS;
}
