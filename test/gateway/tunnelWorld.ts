/** An instance that opens tunnels for others, with raw servers behind it. */

import type { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { HealthCheck } from '@flamingocourse/gateway';
import { Kernel, MemoryEventLog, MonotonicClock } from '@flamingocourse/kernel';
import { MeshClient, MeshServer } from '@flamingocourse/mesh';
import { MemoryObjectStore } from '@flamingocourse/store';
import type { DirectoryServer } from '../../packages/gateway/src/node/serverDirectory.js';
import { ServerDirectory } from '../../packages/gateway/src/node/serverDirectory.js';
import { ServerTunnels } from '../../packages/gateway/src/node/serverTunnels.js';
import { until } from '../platform/world.js';
import { testContext } from './testContext.js';

const TIMEOUT_MS = 2_000;

/** Directory that lists what the test says. */
class FixedDirectory extends ServerDirectory {
  readonly listed = new Map<string, DirectoryServer>();

  override start(): void {
    // nothing to watch.
  }

  override find(id: string): DirectoryServer | undefined {
    return this.listed.get(id);
  }
}

class UnusedHealthCheck extends HealthCheck {
  override probe(): never {
    throw new Error('not used');
  }
}

/** Both ends of a tunnel. */
export interface Ends {
  /** End of the instance that asked for the tunnel. */
  caller: Socket;
  server: Socket;
}

export class TunnelWorld {
  readonly log = new MemoryEventLog();
  readonly mesh = new MeshServer({ host: '127.0.0.1', port: 0 });
  readonly client = new MeshClient();
  readonly context = testContext(new MonotonicClock(), this.log, new MemoryObjectStore());
  readonly tunnels = new ServerTunnels(this.context);
  /** Connections that the servers accepted and no test has taken. */
  readonly accepted: Socket[] = [];
  readonly #directory = new FixedDirectory(this.context, new UnusedHealthCheck());
  readonly #kernel = new Kernel();
  readonly #t: Pick<TestContext, 'after'>;

  private constructor(t: Pick<TestContext, 'after'>) {
    this.#t = t;
  }

  static async start(t: Pick<TestContext, 'after'>): Promise<TunnelWorld> {
    const world = new TunnelWorld(t);
    world.#kernel.register(world.#directory).register(world.mesh).register(world.tunnels);
    world.#kernel.onFailure((err) => {
      throw err;
    });
    await world.#kernel.start();
    t.after(async () => {
      world.tunnels.beginStop(0);
      await world.stop();
      world.client.close();
    });
    return world;
  }

  /** Stops all services. */
  stop(): Promise<void> {
    return this.#kernel.stop();
  }

  /** Starts a server that accepts connections, and lists it; returns its URL. */
  async addServer(id: string): Promise<string> {
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => undefined);
      this.#t.after(() => socket.destroy());
      this.accepted.push(socket);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    this.#t.after(() => server.close());
    const url = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    this.list(id, url);
    return url;
  }

  /** Lists a server at a URL. */
  list(id: string, url: string, state: 'live' | 'leaving' = 'live'): void {
    const server = { id, url, state, service: 'ledger', dataCentre: 'hall-a', slots: 4 };
    this.#directory.listed.set(id, server);
  }

  /** Asks for a tunnel. */
  async ask(target: string, peerUrl = this.mesh.url): ReturnType<MeshClient['openTunnel']> {
    const options = { peerUrl, target, timeoutMs: TIMEOUT_MS, allowHalfOpen: true };
    const tunnel = await this.client.openTunnel(options);
    if (tunnel.isOk) this.#t.after(() => tunnel.value.destroy());
    return tunnel;
  }

  /** Opens a tunnel and returns both ends. */
  async open(target: string, peerUrl?: string): Promise<Ends> {
    const tunnel = await this.ask(target, peerUrl);
    if (tunnel.isErr) throw tunnel.error;
    await until('accepted', () => this.accepted.length > 0);
    const server = this.accepted.shift();
    if (!server) throw new Error('the server accepted nothing');
    return { caller: tunnel.value, server };
  }

  /** Fields of the log lines of one event. */
  lines(event: string): Record<string, unknown>[] {
    return this.log.events.filter((line) => line.event === event).map(({ fields }) => fields);
  }
}
