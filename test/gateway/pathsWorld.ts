/** Paths to servers with a given list and scripted peers, without a store. */

import type { TestContext } from 'node:test';
import type { GatewayContext } from '@flamingocourse/gateway';
import type { FleetInstance, RouteTable, ServerId } from '@flamingocourse/core';
import type { Result } from 'true-myth';
import type { Socket } from 'node:net';
import type { DirectoryServer } from '../../packages/gateway/src/node/serverDirectory.js';
import type { TunnelFault } from '../../packages/gateway/src/types/tunnelCalls.js';
import { HealthCheck } from '@flamingocourse/gateway';
import { Kernel, MemoryEventLog, MonotonicClock } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { ConfigurationWatch } from '../../packages/gateway/src/node/configurationWatch.js';
import { InstanceDirectory } from '../../packages/gateway/src/node/instanceDirectory.js';
import { ServerAgent } from '../../packages/gateway/src/node/serverAgent.js';
import { ServerDirectory } from '../../packages/gateway/src/node/serverDirectory.js';
import { ServerPaths } from '../../packages/gateway/src/node/serverPaths.js';
import { TunnelCalls } from '../../packages/gateway/src/types/tunnelCalls.js';
import { testContext } from './testContext.js';

/** Opens a tunnel, or says why there is none. */
export type OpenTunnel = (
  peer: string,
  server: ServerId,
) => Result<Socket, TunnelFault> | Promise<Result<Socket, TunnelFault>>;

class ScriptedTunnels extends TunnelCalls {
  readonly #open: OpenTunnel;

  constructor(open: OpenTunnel) {
    super();
    this.#open = open;
  }

  override async open({ name }: FleetInstance, server: ServerId): ReturnType<TunnelCalls['open']> {
    return this.#open(name, server);
  }
}

class ListedInstances extends InstanceDirectory {
  override get all(): readonly FleetInstance[] {
    return ['edge-2', 'edge-3', 'edge-4'].map((name) => {
      return { name, dataCentre: 'hall-a', meshUrl: `http://${name}:1` };
    });
  }

  override start(): void {
    // reads no store.
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }
}

class FixedConfiguration extends ConfigurationWatch {
  override get table(): RouteTable {
    return { service: () => ({ healthPath: '/health' }) } as unknown as RouteTable;
  }

  override start(): void {
    // reads no store.
  }
}

class NoHealthCheck extends HealthCheck {
  override probe(): Promise<'unknown'> {
    return Promise.resolve('unknown');
  }
}

class FixedServers extends ServerDirectory {
  #listener: (servers: DirectoryServer[]) => void = () => undefined;

  override onChange(listener: (servers: DirectoryServer[]) => void): void {
    this.#listener = listener;
  }

  override start(): void {
    // reads no store.
  }

  list(servers: DirectoryServer[]): void {
    this.#listener(servers);
  }
}

/** Returns a listed server of the service `llm`. */
export function listedServer(id: ServerId, url: string): DirectoryServer {
  return { service: 'llm', id, dataCentre: 'hall-a', state: 'live', url, slots: 4 };
}

/** Running paths and what they depend on. */
export interface PathsWorld {
  paths: ServerPaths;
  agent: ServerAgent;
  context: GatewayContext;
  /** Publishes another list of servers. */
  list: (servers: DirectoryServer[]) => void;
}

/** Starts the paths of `edge-1` to the servers, with three peers in its data centre. */
export async function startPaths(
  t: TestContext,
  servers: DirectoryServer[],
  open: OpenTunnel,
): Promise<PathsWorld> {
  const context = testContext(new MonotonicClock(), new MemoryEventLog(), new MemoryObjectStore());
  const agent = new ServerAgent();
  const paths = new ServerPaths(context, agent, new ScriptedTunnels(open));
  const directory = new FixedServers(context, new NoHealthCheck());
  const kernel = new Kernel()
    .register(new FixedConfiguration(context))
    .register(directory)
    .register(new ListedInstances(context))
    .register(paths);
  await kernel.start();
  t.after(async () => {
    await kernel.stop();
    agent.destroy();
  });
  const list = (listed: DirectoryServer[]): void => {
    directory.list(listed);
  };
  list(servers);
  return { paths, agent, context, list };
}
