/** Faults of a run: chosen by a seeded generator and injected from outside the processes. */

import type { Link } from '../../packages/lab/src/node/link/index.js';
import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { Behaviour, FakeServer } from '../platform/fakeServer.js';
import type { FakeStore } from '../platform/fakeStore.js';
import type { SoakConfiguration } from './soakConfiguration.js';
import type { SoakProcess } from './soakProcess.js';
import { setTimeout as delay } from 'node:timers/promises';

const MS_PER_SECOND = 1_000;
/** Maximum duration of a fault in milliseconds. */
const MAX_FAULT_MS = 1_800;

/** What faults are injected into. */
export interface FaultTargets {
  store: FakeStore;
  configuration: SoakConfiguration;
  servers: FakeServer[];
  links: { store: Link[]; servers: Link[] };
  instances: SoakProcess[];
}

export class SoakFaults {
  /** Injected faults, one phrase each. */
  readonly injected: string[] = [];

  constructor(
    readonly random: Random,
    readonly targets: FaultTargets,
  ) {}

  /** Injects one fault and resolves when it has ended. */
  inject(): Promise<void> {
    const { random } = this;
    const { instances, links } = this.targets;
    const forMs = random.int(200, MAX_FAULT_MS);
    const instance = random.pick(instances);
    const at = instances.indexOf(instance);
    const faults: { name: string; weight: number; run: () => Promise<void> }[] = [
      { name: `kill ${instance.name}`, weight: 2, run: () => restart(instance, 'SIGKILL', forMs) },
      { name: `stop ${instance.name}`, weight: 1, run: () => restart(instance, 'SIGTERM', forMs) },
      { name: `pause ${instance.name}`, weight: 2, run: () => pause(instance, forMs) },
      { name: 'kill all', weight: 1, run: () => this.#killAll(forMs) },
      {
        name: `store silent for ${instance.name}`,
        weight: 2,
        run: () => cut(links.store[at], 'silent', forMs),
      },
      {
        name: `store resets ${instance.name}`,
        weight: 1,
        run: () => cut(links.store[at], 'reset', forMs),
      },
      { name: 'store silent', weight: 1, run: () => this.#storeFault('silent', forMs) },
      { name: 'store down', weight: 1, run: () => this.#storeFault('down', forMs) },
      {
        name: 'a server is cut off',
        weight: 2,
        run: () => cut(random.pick(links.servers), 'silent', forMs),
      },
      {
        name: 'a server is slow to reach',
        weight: 1,
        run: () => slow(random.pick(links.servers), forMs),
      },
      { name: 'a server fails', weight: 2, run: () => this.#misbehave(forMs) },
      { name: 'a server requests a pause', weight: 2, run: () => this.#requestPause(forMs) },
      { name: 'a server leaves and starts again', weight: 1, run: () => this.#leave(forMs) },
      { name: 'a server limits requests', weight: 1, run: () => this.#limitRate(forMs) },
      { name: 'top-up', weight: 1, run: () => this.#topUp() },
    ];
    const fault = random.pickWeighted(faults);
    this.injected.push(`${fault.name} for ${String(forMs)} ms`);
    return fault.run();
  }

  async #killAll(forMs: number): Promise<void> {
    await Promise.all(
      this.targets.instances.map((instance) => restart(instance, 'SIGKILL', forMs)),
    );
  }

  async #storeFault(fault: 'silent' | 'down', forMs: number): Promise<void> {
    this.targets.store.fault = fault;
    await delay(forMs);
    this.targets.store.fault = 'none';
  }

  async #misbehave(forMs: number): Promise<void> {
    const server = this.random.pick(this.targets.servers);
    const usual: Behaviour = server.id.startsWith('e') ? 'stream' : 'answer';
    const failures: Behaviour[] = ['reset', 'shed', 'error', 'silent', 'other-id', 'no-proof'];
    if (usual === 'stream') failures.push('break-stream');
    server.behaviour = this.random.pick(failures);
    await delay(forMs);
    server.behaviour = usual;
  }

  async #requestPause(forMs: number): Promise<void> {
    const server = this.random.pick(this.targets.servers);
    const usual: Behaviour = server.id.startsWith('e') ? 'stream' : 'answer';
    server.rest = String(forMs / MS_PER_SECOND);
    server.behaviour = 'shed';
    await delay(forMs);
    server.behaviour = usual;
  }

  /** The server announces that it is leaving, then starts again as a new incarnation. */
  async #leave(forMs: number): Promise<void> {
    const server = this.random.pick(this.targets.servers);
    if (server.saysLeaving) return;
    server.saysLeaving = true;
    await delay(forMs);
    server.saysLeaving = false;
    this.targets.configuration.restartServer(server.id);
  }

  async #limitRate(forMs: number): Promise<void> {
    const server = this.random.pick(this.targets.servers);
    server.rateLimit = '5';
    await delay(forMs);
    server.rateLimit = undefined;
  }

  #topUp(): Promise<void> {
    this.targets.configuration.topUp();
    return Promise.resolve();
  }
}

async function restart(
  instance: SoakProcess,
  signal: 'SIGKILL' | 'SIGTERM',
  forMs: number,
): Promise<void> {
  // One restart at a time, so that a stopped process is not started twice.
  if (instance.busy) return;
  instance.busy = true;
  await instance.end(signal);
  await delay(forMs);
  await instance.start();
  instance.busy = false;
}

async function pause(instance: SoakProcess, forMs: number): Promise<void> {
  if (instance.hasOutput) instance.signal('SIGHUP');
  instance.signal('SIGSTOP');
  await delay(forMs);
  instance.signal('SIGCONT');
}

async function cut(link: Link | undefined, mode: 'silent' | 'reset', forMs: number): Promise<void> {
  link?.setCut(mode);
  await delay(forMs);
  link?.setCut('none');
}

async function slow(link: Link, forMs: number): Promise<void> {
  link.setLatency(100);
  await delay(forMs);
  link.setLatency(0);
}
