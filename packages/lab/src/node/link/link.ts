/** TCP relay that simulates latency and network partitions on loopback. */

import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { runInBackground } from '@flamingocourse/kernel';
import { breakConnection } from './breakConnection.js';

/** Effect of a cut on both ends of a connection; `none` means no cut. */
export type CutMode = 'none' | 'silent' | 'reset' | 'refuse-new';

/** Address that a link forwards to. */
export interface LinkTarget {
  host: string;
  port: number;
}

/** Options of a link. */
export interface LinkOptions {
  /** Address that the link forwards to; a function if it is not known yet. */
  target: LinkTarget | (() => LinkTarget);
  /** Port to listen on; 0 chooses a free one. @default 0 */
  port?: number;
  /** @default '127.0.0.1' */
  host?: string;
  /** One-way latency in milliseconds. @default 0 */
  latencyMs?: number;
}

/** A running relay. */
export interface Link {
  /** `http://host:port` that the link listens on. */
  url: string;
  port: number;
  /**
   * Cuts connections, or ends the cut with `none`. `silent` drops all bytes; `reset` resets open and
   * new connections; `refuse-new` keeps open connections and refuses new ones. With `from`, applies only to connections from that IP address: where each data
   * centre has its own loopback address, this cuts one data centre off from one instance. A port
   * can't be closed to one address only: there, `refuse-new` resets new connections.
   */
  setCut(mode: CutMode, from?: string): void;
  setLatency(latencyMs: number): void;
  close(): Promise<void>;
}

/** Maximum bytes in flight in one direction of a connection before the sender is paused. */
const maxBytesInFlight = 4 * 1024 * 1024;

/** Key of the cut that applies to sources without their own entry. */
const anySource = 'any';

/** Milliseconds until a link tries again to listen on its port, if another socket holds it. */
const relistenMs = 10;

interface LinkState {
  /** Cut by source address. */
  cuts: Map<string, CutMode>;
  latencyMs: number;
  /** Source address of the connection, by open socket. */
  sockets: Map<Socket, string>;
}

/** A listener that can be closed and opened again on its port. */
interface Listener {
  port: number;
  open(): void;
  /** Refuses new connections; open ones live on. */
  close(): void;
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
  const listener = await startListener(host, options.port ?? 0, (near) => {
    const { target } = options;
    accept(near, typeof target === 'function' ? target() : target, state);
  });
  const { port } = listener;
  let isClosed = false;
  return {
    url: `http://${host}:${String(port)}`,
    port,
    setCut: (mode, from = anySource) => {
      setCut(state, mode, from);
      if (state.cuts.get(anySource) === 'refuse-new' || isClosed) listener.close();
      else listener.open();
    },
    setLatency: (latencyMs) => {
      state.latencyMs = latencyMs;
    },
    close: async () => {
      isClosed = true;
      listener.close();
      const closed = [...state.sockets.keys()].map((socket) => onceClosed(socket));
      breakMatching(state, () => true);
      await Promise.all(closed);
    },
  };
}

function setCut(state: LinkState, mode: CutMode, from: string): void {
  const before = new Map(
    [...state.sockets].map(([socket, source]) => [socket, cutOf(state, source)]),
  );
  state.cuts.set(from, mode);
  // Connections that lost bytes in a silent cut are unusable when it ends. In a real partition, TCP
  // would drop them after its retransmissions, so they are reset here.
  breakMatching(state, (socket, source) => {
    const now = cutOf(state, source);
    return now === 'reset' || (before.get(socket) === 'silent' && now !== 'silent');
  });
}

function cutOf(state: LinkState, source: string): CutMode {
  return state.cuts.get(source) ?? state.cuts.get(anySource) ?? 'none';
}

function accept(near: Socket, target: LinkTarget, state: LinkState): void {
  const source = near.remoteAddress ?? '';
  track(near, source, state);
  const cut = cutOf(state, source);
  if (cut === 'reset' || cut === 'refuse-new') {
    breakConnection(near);
    return;
  }
  // During a silent cut, the connection is accepted but not forwarded.
  if (cut === 'silent') return;
  const far = connect(target.port, target.host);
  track(far, source, state);
  const isOpen = (): boolean => {
    const mode = cutOf(state, source);
    return mode === 'none' || mode === 'refuse-new';
  };
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
  const delayed = createDelayLine(state);
  let bytesInFlight = 0;
  from.on('data', (bytes: Buffer) => {
    if (!isOpen()) return;
    bytesInFlight += bytes.length;
    if (bytesInFlight > maxBytesInFlight) from.pause();
    delayed(() => {
      if (to.destroyed) return;
      to.write(bytes, () => {
        bytesInFlight -= bytes.length;
        if (bytesInFlight <= maxBytesInFlight) from.resume();
      });
    });
  });
  from.on('end', () => {
    if (isOpen()) delayed(() => to.end());
  });
  from.on('close', () => {
    if (isOpen()) delayed(() => to.destroy());
  });
}

/** Runs steps after the link's latency, in order even if the latency changes in the meantime. */
function createDelayLine(state: LinkState): (step: () => void) => void {
  const pending: (() => void)[] = [];
  return (step) => {
    if (state.latencyMs === 0 && pending.length === 0) {
      step();
      return;
    }
    pending.push(step);
    setTimeout(() => pending.shift()?.(), state.latencyMs);
  };
}

function breakMatching(
  state: LinkState,
  condition: (socket: Socket, source: string) => boolean,
): void {
  for (const [socket, source] of state.sockets) {
    if (condition(socket, source)) breakConnection(socket);
  }
}

async function startListener(
  host: string,
  port: number,
  onConnection: (socket: Socket) => void,
): Promise<Listener> {
  let server: Server | undefined = createServer(onConnection);
  let retry: NodeJS.Timeout | undefined;
  const listener: Listener = {
    port: await listen(server, host, port),
    open: () => {
      clearTimeout(retry);
      if (server) return;
      const reopened = createServer(onConnection);
      server = reopened;
      // Another socket may hold the port for a moment.
      const retryLater = (): void => {
        if (server !== reopened) return;
        server = undefined;
        retry = setTimeout(() => {
          listener.open();
        }, relistenMs);
      };
      runInBackground(() => listen(reopened, host, listener.port), retryLater);
    },
    close: () => {
      clearTimeout(retry);
      server?.close();
      server = undefined;
    },
  };
  return listener;
}

function onceClosed(socket: Socket): Promise<unknown> {
  return new Promise((resolve) => socket.once('close', resolve));
}

function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
