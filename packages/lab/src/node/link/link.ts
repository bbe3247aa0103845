/** TCP relay between two data centres, so that a network partition can be made on loopback. */

import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { breakConnection } from './breakConnection.js';

/** How a cut shows to both ends. */
export type CutMode = 'none' | 'silent' | 'reset';

/** Where a link leads. */
export interface LinkTarget {
  host: string;
  port: number;
}

/** Options of a link. */
export interface LinkOptions {
  /** Address that the link leads to; a function when it is not known yet. */
  target: LinkTarget | (() => LinkTarget);
  /** Port to listen on; 0 takes a free one. @default 0 */
  port?: number;
  /** @default '127.0.0.1' */
  host?: string;
  /** Milliseconds that bytes take one way. @default 0 */
  latencyMs?: number;
}

/** A running relay. */
export interface Link {
  /** `http://host:port` of the near end. */
  url: string;
  port: number;
  /**
   * `silent` drops all bytes; `reset` breaks connections and refuses new ones. With `from`, only for
   * connections from that IP address, so that a link in front of one instance can be cut for one
   * data centre, where each data centre has a loopback address of its own.
   */
  setCut(mode: CutMode, from?: string): void;
  setLatency(latencyMs: number): void;
  close(): Promise<void>;
}

/** Most bytes under way in one direction of a connection before the sender is paused. */
const maxBytesUnderWay = 4 * 1024 * 1024;

/** Cut of all sources that have none of their own. */
const anySource = 'any';

interface LinkState {
  /** By source address. */
  cuts: Map<string, CutMode>;
  latencyMs: number;
  /** Open sockets with the source address of their connection. */
  sockets: Map<Socket, string>;
}

/**
 * Starts a relay.
 *
 * @example
 * const link = await createLink({ target: { host: '127.0.0.1', port: 8081 }, latencyMs: 0.5 });
 * link.setCut('silent');
 */
export async function createLink(options: LinkOptions): Promise<Link> {
  const host = options.host ?? '127.0.0.1';
  const state: LinkState = {
    cuts: new Map(),
    latencyMs: options.latencyMs ?? 0,
    sockets: new Map(),
  };
  const server = createServer((near) => {
    const { target } = options;
    accept(near, typeof target === 'function' ? target() : target, state);
  });
  const port = await listen(server, host, options.port ?? 0);
  return {
    url: `http://${host}:${String(port)}`,
    port,
    setCut: (mode, from = anySource) => {
      setCut(state, mode, from);
    },
    setLatency: (latencyMs) => {
      state.latencyMs = latencyMs;
    },
    close: () => {
      breakWhere(state, () => true);
      return new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
      });
    },
  };
}

function setCut(state: LinkState, mode: CutMode, from: string): void {
  const before = new Map(
    [...state.sockets].map(([socket, source]) => [socket, cutOf(state, source)]),
  );
  state.cuts.set(from, mode);
  // connections that lost bytes in a silent cut are of no more use when it ends: a real one would
  // have dropped them after its retransmissions, so they are broken here.
  breakWhere(state, (socket, source) => {
    const now = cutOf(state, source);
    return now === 'reset' || (before.get(socket) === 'silent' && now === 'none');
  });
}

function cutOf(state: LinkState, source: string): CutMode {
  return state.cuts.get(source) ?? state.cuts.get(anySource) ?? 'none';
}

function accept(near: Socket, target: LinkTarget, state: LinkState): void {
  const source = near.remoteAddress ?? '';
  track(near, source, state);
  const cut = cutOf(state, source);
  if (cut === 'reset') {
    breakConnection(near);
    return;
  }
  // during a silent cut the connection is taken and leads nowhere.
  if (cut === 'silent') return;
  const far = connect(target.port, target.host);
  track(far, source, state);
  const isOpen = (): boolean => cutOf(state, source) === 'none';
  relay(near, far, state, isOpen);
  relay(far, near, state, isOpen);
}

function track(socket: Socket, source: string, state: LinkState): void {
  socket.setNoDelay(true);
  state.sockets.set(socket, source);
  socket.on('close', () => state.sockets.delete(socket));
  socket.on('error', () => {
    socket.destroy();
  });
}

function relay(from: Socket, to: Socket, state: LinkState, isOpen: () => boolean): void {
  const inOrder = createDelayLine(state);
  let underWay = 0;
  from.on('data', (bytes: Buffer) => {
    if (!isOpen()) return;
    underWay += bytes.length;
    if (underWay > maxBytesUnderWay) from.pause();
    inOrder(() => {
      if (to.destroyed) return;
      to.write(bytes, () => {
        underWay -= bytes.length;
        if (underWay <= maxBytesUnderWay) from.resume();
      });
    });
  });
  from.on('end', () => {
    if (isOpen()) inOrder(() => to.end());
  });
  from.on('close', () => {
    if (isOpen()) inOrder(() => to.destroy());
  });
}

/** Runs steps after the link's latency, in their order also when the latency changes meanwhile. */
function createDelayLine(state: LinkState): (step: () => void) => void {
  const waiting: (() => void)[] = [];
  return (step) => {
    if (state.latencyMs === 0 && waiting.length === 0) {
      step();
      return;
    }
    waiting.push(step);
    setTimeout(() => waiting.shift()?.(), state.latencyMs);
  };
}

function breakWhere(
  state: LinkState,
  condition: (socket: Socket, source: string) => boolean,
): void {
  for (const [socket, source] of state.sockets) {
    if (condition(socket, source)) breakConnection(socket);
  }
}

function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
