/** TCP relay between two data centres, so that a network partition can be made on loopback. */

import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** How a cut shows to both ends. */
export type CutMode = 'none' | 'silent' | 'reset';

/** Options of a link. */
export interface LinkOptions {
  /** Address that the link leads to. */
  target: { host: string; port: number };
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
  /** `silent` drops all bytes; `reset` breaks connections and refuses new ones. */
  setCut(mode: CutMode): void;
  setLatency(latencyMs: number): void;
  close(): Promise<void>;
}

/** Most bytes under way in one direction of a connection before the sender is paused. */
const maxBytesUnderWay = 4 * 1024 * 1024;

interface LinkState {
  cut: CutMode;
  latencyMs: number;
  sockets: Set<Socket>;
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
  const state: LinkState = { cut: 'none', latencyMs: options.latencyMs ?? 0, sockets: new Set() };
  const server = createServer((near) => {
    accept(near, options.target, state);
  });
  const port = await listen(server, host, options.port ?? 0);
  return {
    url: `http://${host}:${String(port)}`,
    port,
    setCut: (mode) => {
      // connections that lost bytes in a silent cut are of no more use when it ends: a real one
      // would have dropped them after its retransmissions, so they are broken here.
      const lostBytes = state.cut === 'silent' && mode !== 'silent';
      state.cut = mode;
      if (mode === 'reset' || lostBytes) breakAll(state);
    },
    setLatency: (latencyMs) => {
      state.latencyMs = latencyMs;
    },
    close: () => {
      breakAll(state);
      return new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
      });
    },
  };
}

function accept(near: Socket, target: LinkOptions['target'], state: LinkState): void {
  track(near, state);
  if (state.cut === 'reset') {
    near.resetAndDestroy();
    return;
  }
  // during a silent cut the connection is taken and leads nowhere.
  if (state.cut === 'silent') return;
  const far = connect(target.port, target.host);
  track(far, state);
  relay(near, far, state);
  relay(far, near, state);
}

function track(socket: Socket, state: LinkState): void {
  socket.setNoDelay(true);
  state.sockets.add(socket);
  socket.on('close', () => state.sockets.delete(socket));
  socket.on('error', () => {
    socket.destroy();
  });
}

function relay(from: Socket, to: Socket, state: LinkState): void {
  const inOrder = createDelayLine(state);
  let underWay = 0;
  from.on('data', (bytes: Buffer) => {
    if (state.cut !== 'none') return;
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
    if (state.cut === 'none') inOrder(() => to.end());
  });
  from.on('close', () => {
    if (state.cut === 'none') inOrder(() => to.destroy());
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

function breakAll(state: LinkState): void {
  for (const socket of state.sockets) socket.resetAndDestroy();
  state.sockets.clear();
}

function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
