/** HTTP agent with keep-alive connections to backend servers. */

import type { Duplex } from 'node:stream';
import { Agent } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { NetConnectOpts } from 'node:net';
import { entryOf } from '@flamingocourse/core';
import { runInBackground } from '@flamingocourse/kernel';
import type { ServerConnector } from '../types/serverConnector.js';
import { Socket } from 'node:net';
import { serverAddress } from '../utils/serverAddress.js';

/** Milliseconds before the server's keep-alive timeout at which an idle connection is closed. */
const IDLE_MARGIN_MS = 1_000;
/** Idle timeout in milliseconds for a server that announces no keep-alive timeout. */
const DEFAULT_IDLE_MS = 2_000;
/** Longest time in milliseconds that an idle connection is kept, whatever its server allows. */
const MAX_IDLE_MS = 3_600_000;
const MS_PER_SECOND = 1_000;

/**
 * Keeps idle connections only while they are safe to reuse.
 *
 * A server closes an idle connection at its own timeout. A request that is sent at that moment may
 * or may not have run, and cannot be retried if it must not run twice; so a connection is closed
 * well before that timeout. Bytes that arrive while no request is waiting would be read as the
 * start of the next response; so a connection that receives such bytes is closed.
 */
export class ServerAgent extends Agent {
  #connector: ServerConnector | undefined;

  constructor() {
    super({ keepAlive: true, maxFreeSockets: 256, scheduling: 'lifo' });
  }

  /** Opens all later connections by a connector instead of directly. */
  connectBy(connector: ServerConnector): void {
    this.#connector = connector;
  }

  override createConnection(
    options: NetConnectOpts,
    callback?: (err: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    if (!this.#connector || !callback) return super.createConnection(options, callback);
    const fail = callback as (err: unknown) => void;
    const connecting = this.#connector(options);
    runInBackground(async () => {
      const connected = await connecting;
      if (connected.isOk) callback(null, connected.value);
      else fail(connected.error);
    }, fail);
    return undefined;
  }

  /** Closes idle connections to a server, all of them or those that match. */
  closeIdle(url: string, matches: (connection: Duplex) => boolean = () => true): void {
    for (const socket of this.#idle(url)) if (matches(socket)) socket.destroy();
  }

  /** The idle connection that the next request to a server takes; undefined if it opens a new one. */
  nextIdle(url: string): Duplex | undefined {
    return this.#idle(url).findLast((socket) => !socket.destroyed);
  }

  #idle(url: string): readonly Duplex[] {
    return entryOf(this.freeSockets, this.getName(serverAddress(url))) ?? [];
  }

  /** Returns whether the connection is kept for reuse. */
  override keepSocketAlive(stream: Duplex): boolean {
    if (!(stream instanceof Socket)) return false;
    const idleMs = allowedIdleMs(stream);
    if (idleMs <= 0) return false;
    stream.setKeepAlive(true, DEFAULT_IDLE_MS);
    stream.unref();
    stream.setTimeout(idleMs);
    stream.on('data', destroyOnData);
    return true;
  }

  /** The open connections to a server, idle or in use. */
  openConnections(url: string): Socket[] {
    const name = this.getName(serverAddress(url));
    const sockets = [
      ...(entryOf(this.sockets, name) ?? []),
      ...(entryOf(this.freeSockets, name) ?? []),
    ];
    return sockets.filter((socket) => !socket.destroyed && !socket.connecting);
  }

  override reuseSocket(stream: Duplex, req: ClientRequest): void {
    stream.removeListener('data', destroyOnData);
    super.reuseSocket(stream, req);
  }
}

function destroyOnData(this: Socket): void {
  this.destroy();
}

/** Returns the idle timeout in milliseconds, from the `keep-alive` header of the last response. */
function allowedIdleMs(socket: Socket): number {
  const { _httpMessage: message } = socket as { _httpMessage?: { res?: IncomingMessage } };
  const hint = message?.res?.headers['keep-alive'];
  const seconds = /(?:^|[\s,])timeout=(\d+)/i.exec(typeof hint === 'string' ? hint : '')?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_MS;
  return Math.min(Number(seconds) * MS_PER_SECOND - IDLE_MARGIN_MS, MAX_IDLE_MS);
}
