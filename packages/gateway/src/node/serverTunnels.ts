/** Tunnels to backend servers for other instances that have lost their own links to them. */

import type { Kernel } from '@flamingocourse/kernel';
import type { TunnelRefusal, TunnelRequest } from '@flamingocourse/mesh';
import type { Socket } from 'node:net';
import type { GatewayContext } from '../types/context.js';
import type { DirectoryServer } from './serverDirectory.js';
import type { TunnelRefusalReason } from './tunnelLog.js';
import { setTimeout as delay } from 'node:timers/promises';
import { Service, runInBackground } from '@flamingocourse/kernel';
import { MeshServer, acceptTunnel, refuseTunnel } from '@flamingocourse/mesh';
import { StopSchedule } from '../runtime/stopSchedule.js';
import { serverAddress } from '../utils/serverAddress.js';
import { connectSocket } from './connectSocket.js';
import { relaySockets } from './relaySockets.js';
import { ServerDirectory } from './serverDirectory.js';
import { TunnelLog } from './tunnelLog.js';

/**
 * Maximum number of open tunnels, including those that connect. Each has two sockets and some 100 kB
 * of buffers, and one instance without links needs about as many as it has requests in progress.
 */
export const MAX_TUNNELS = 256;
/**
 * Milliseconds in which the server must accept the connection. The peer still has to have time for
 * another server or another way.
 */
const CONNECT_MS = 150;
/** Milliseconds between two checks whether the last tunnel is closed. */
const STOP_CHECK_MS = 20;

const refusalOfReason: Record<TunnelRefusalReason, TunnelRefusal> = {
  stopping: 'unavailable',
  'no-room': 'unavailable',
  'not-listed': 'not-listed',
  leaving: 'not-listed',
  evacuated: 'not-listed',
  'connect-refused': 'server-refused',
  'connect-failed': 'server-unreachable',
  'connect-timeout': 'server-unreachable',
};

/**
 * Service that connects other instances to servers. Registered as `tunnels`. The other instance
 * decides what is sent and judges the answer; this one only carries bytes. It connects directly to
 * the server, never through another instance.
 */
export class ServerTunnels extends Service {
  override readonly name = 'tunnels';
  override readonly dependsOn = ['directory', 'mesh'];
  readonly #context: GatewayContext;
  readonly #log: TunnelLog;
  readonly #callers = new Set<Socket>();
  readonly #stopSchedule = new StopSchedule();
  #directory: ServerDirectory | undefined;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
    this.#log = new TunnelLog(context);
  }

  /** Number of tunnels, including those that connect. */
  get open(): number {
    return this.#callers.size;
  }

  override start(kernel: Kernel): void {
    this.#directory = kernel.get('directory', ServerDirectory);
    kernel.get('mesh', MeshServer).handleConnect((request) => {
      runInBackground(
        () => this.#handle(request),
        (err) => {
          request.socket.resetAndDestroy();
          kernel.reportFailure(err, this.name);
        },
      );
    });
  }

  /**
   * Accepts no tunnels from now on. Open ones may last until the end of the stop, as requests of
   * callers may; the first call decides.
   *
   * @param graceMs Milliseconds from the request to stop until the process is killed.
   * @param since Earliest time at which the stop can have been requested.
   */
  beginStop(graceMs = this.#context.settings.stopGraceMs, since?: number): void {
    const now = this.#context.clock.now();
    this.#stopSchedule.begin({ graceMs, since: since ?? now, now });
  }

  override async stop(): Promise<void> {
    this.beginStop();
    while (this.open > 0 && !this.#isOver) await delay(STOP_CHECK_MS);
    for (const caller of this.#callers) caller.resetAndDestroy();
  }

  get #isOver(): boolean {
    return this.#stopSchedule.phase(this.#context.clock.now()) === 'over';
  }

  async #handle({ target, socket, head }: TunnelRequest): Promise<void> {
    const server = this.#directory?.find(target);
    const reason = this.#refusalReason(server);
    if (!server || reason) {
      this.#refuse(target, socket, reason ?? 'not-listed');
      return;
    }
    this.#callers.add(socket);
    socket.once('close', () => {
      this.#callers.delete(socket);
    });
    if (head.length > 0) socket.unshift(head);
    await this.#connect(server, socket);
  }

  #refusalReason(server: DirectoryServer | undefined): TunnelRefusalReason | undefined {
    if (this.#stopSchedule.isStopping) return 'stopping';
    if (this.open >= MAX_TUNNELS) return 'no-room';
    if (!server) return 'not-listed';
    return server.state === 'leaving' ? 'leaving' : this.#context.rules.closedBy(server);
  }

  #refuse(server: string, socket: Socket, reason: TunnelRefusalReason): void {
    this.#log.refused(server, reason, this.#context.clock.now());
    refuseTunnel(socket, refusalOfReason[reason]);
  }

  async #connect(server: DirectoryServer, caller: Socket): Promise<void> {
    const signal = abortedAtEnd(caller);
    const { id, url } = server;
    const options = { ...serverAddress(url), timeoutMs: CONNECT_MS, signal };
    const connected = await connectSocket(options);
    if (connected.isOk) this.#carry(server, caller, connected.value);
    else if (connected.error === 'aborted') caller.destroy();
    else this.#refuse(id, caller, `connect-${connected.error}`);
  }

  #carry({ id, dataCentre }: DirectoryServer, caller: Socket, server: Socket): void {
    // the caller's connection has carried its request before.
    const before = caller.bytesRead - caller.readableLength;
    this.#log.opened(id);
    server.once('close', () => {
      this.#log.closed(id, caller.bytesRead - before + server.bytesRead);
    });
    acceptTunnel(caller);
    // an instance that cannot know of an evacuation would send its next request through here.
    const { evacuations } = this.#context.rules;
    relaySockets(caller, server, { mayPass: () => !evacuations.has(dataCentre) });
  }
}

/** Returns a signal that is aborted when the socket ends or is closed. */
function abortedAtEnd(socket: Socket): AbortSignal {
  const controller = new AbortController();
  const abort = (): void => {
    controller.abort();
  };
  socket.once('end', abort).once('close', abort);
  return controller.signal;
}
