/** Faults of a run: chosen by a seeded generator and injected from outside the processes. */

import type { CutMode, Link } from '../../packages/lab/src/node/link/index.js';
import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { Behaviour, FakeServer } from '../platform/fakeServer.js';
import type { FakeStore } from '../platform/fakeStore.js';
import type { SoakConfiguration } from './soakConfiguration.js';
import type { InstanceCut } from './soakCuts.js';
import type { SoakLinks } from './soakLinks.js';
import type { SoakProcess } from './soakProcess.js';
import type { StopCallers } from './soakStopCallers.js';
import type { CutWindow } from './soakStops.js';
import { setTimeout as delay } from 'node:timers/promises';
import { STOP_ACCOUNT } from './soakConfiguration.js';
import { SoakCuts } from './soakCuts.js';
import { SoakScarcity } from './soakScarcity.js';
import { STOP_LEAD_MS } from './soakStopCallers.js';

const MS_PER_SECOND = 1_000;
/** Maximum duration of a fault in milliseconds. */
const MAX_FAULT_MS = 1_800;
/** Maximum milliseconds between two instances that are stopped in turn. */
const MAX_TURN_MS = 700;

/** What faults are injected into. */
export interface FaultTargets {
  store: FakeStore;
  configuration: SoakConfiguration;
  servers: FakeServer[];
  links: SoakLinks;
  /** Servers behind links, in the order of the links. */
  linked: FakeServer[];
  instances: SoakProcess[];
}

/** Which faults a run consists of. */
export type FaultProfile = 'mixed' | 'stops' | 'cuts' | 'scarce';

const MIXED = {
  kill: 2,
  stop: 1,
  pause: 2,
  'kill all': 1,
  'store silent for': 2,
  'store resets': 1,
  'store silent': 1,
  'store down': 1,
  'a server is cut off': 2,
  'a server is slow to reach': 1,
  'a server fails': 2,
  'a server requests a pause': 2,
  'a server leaves and starts again': 1,
  'a server limits requests': 1,
  'top-up': 1,
  'stop all in turn': 0,
  'instances lose servers': 0,
  'instances lose servers in series': 0,
  'scarce processor': 0,
  'restarts while servers fail': 0,
};

type FaultKind = keyof typeof MIXED;

const WEIGHTS: Record<FaultProfile, Record<FaultKind, number>> = {
  mixed: MIXED,
  // Kills and pauses are rare, because a stop near one of them is not checked.
  stops: { ...MIXED, kill: 1, stop: 8, pause: 1, 'kill all': 0, 'stop all in turn': 3 },
  // Processes are disturbed rarely, because an instance that is does not count in a cut.
  cuts: {
    ...MIXED,
    kill: 1,
    stop: 2,
    pause: 1,
    'kill all': 0,
    'store silent for': 1,
    'instances lose servers': 14,
    'instances lose servers in series': 10,
  },
  scarce: { ...MIXED, 'kill all': 0, 'scarce processor': 10, 'restarts while servers fail': 8 },
};

/** Faults whose description names the instance. */
const OF_ONE_INSTANCE: ReadonlySet<FaultKind> = new Set([
  'kill',
  'stop',
  'pause',
  'store silent for',
  'store resets',
  'scarce processor',
]);

/** Faults that have times of their own. */
const DESCRIBED_BY_CUTS: ReadonlySet<FaultKind> = new Set([
  'instances lose servers',
  'instances lose servers in series',
]);

export class SoakFaults {
  readonly #serverCuts: CutWindow[] = [];
  readonly #cuts: SoakCuts;
  readonly scarcity: SoakScarcity;
  /** Times in which the store did not serve anybody. */
  readonly storeFaults: { from: number; until: number }[] = [];
  /** Injected faults, one phrase each. */
  readonly injected: string[] = [];

  constructor(
    readonly random: Random,
    readonly targets: FaultTargets,
    readonly profile: FaultProfile,
    readonly stopCallers: StopCallers,
  ) {
    const { links, instances, linked } = targets;
    const ids = linked.map(({ id }) => id);
    this.scarcity = new SoakScarcity(random);
    this.#cuts = new SoakCuts(random, links, instances, ids, (phrase) => {
      this.injected.push(phrase);
    });
  }

  /** Times in which instances did not reach servers that others reached. */
  get instanceCuts(): readonly InstanceCut[] {
    return this.#cuts.cuts;
  }

  /** Times in which the connections of instances to servers were broken. */
  get cuts(): CutWindow[] {
    const own = this.instanceCuts.filter(({ mode }) => mode !== 'refuse-new');
    const ofInstances = own.flatMap(({ instances, servers, from, until }) =>
      instances.flatMap((instance) =>
        servers.map((server): CutWindow => ({ server, instance, from, until })),
      ),
    );
    return [...this.#serverCuts, ...ofInstances];
  }

  /** Injects the fault that is planned for this time of the run; resolves when it has ended. */
  inject(plannedMs: number): Promise<void> {
    const { random } = this;
    const { instances, links } = this.targets;
    const forMs = random.int(200, MAX_FAULT_MS);
    const instance = random.pick(instances);
    const runs: Record<FaultKind, () => Promise<void>> = {
      kill: () => restart(instance, 'SIGKILL', forMs),
      stop: () => this.#stop(instance, forMs),
      pause: () => pause(instance, forMs),
      'kill all': () => this.#killAll(forMs),
      'store silent for': () => this.#cutStore(instance, 'silent', forMs),
      'store resets': () => this.#cutStore(instance, 'reset', forMs),
      'store silent': () => this.#storeFault('silent', forMs),
      'store down': () => this.#storeFault('down', forMs),
      'a server is cut off': () => this.#cutServer(forMs),
      'a server is slow to reach': () => slow(random.pick(links.servers), forMs),
      'a server fails': () => this.#misbehave(forMs),
      'a server requests a pause': () => this.#requestPause(forMs),
      'a server leaves and starts again': () => this.#leave(forMs),
      'a server limits requests': () => this.#limitRate(forMs),
      'top-up': () => this.#topUp(),
      'stop all in turn': () => this.#stopInTurn(forMs),
      'instances lose servers': () => this.#cuts.cutOnce(plannedMs),
      'instances lose servers in series': () => this.#cuts.cutInSeries(plannedMs),
      'scarce processor': () => this.scarcity.play(instance, STOP_ACCOUNT, forMs),
      'restarts while servers fail': () => this.#restartWhileServersFail(forMs),
    };
    const weights = Object.entries(WEIGHTS[this.profile]) as [FaultKind, number][];
    const { kind } = random.pickWeighted(weights.map(([kind, weight]) => ({ kind, weight })));
    const target = OF_ONE_INSTANCE.has(kind) ? ` ${instance.name}` : '';
    if (!DESCRIBED_BY_CUTS.has(kind))
      this.injected.push(`${kind}${target} for ${String(forMs)} ms`);
    return runs[kind]();
  }

  async #killAll(forMs: number): Promise<void> {
    await Promise.all(
      this.targets.instances.map((instance) => restart(instance, 'SIGKILL', forMs)),
    );
  }

  /** Stops an instance gracefully while callers use it, then starts it again. */
  async #stop(instance: SoakProcess, forMs: number): Promise<void> {
    if (instance.busy) return;
    this.stopCallers.begin(instance);
    await delay(STOP_LEAD_MS);
    await restart(instance, 'SIGTERM', forMs);
  }

  /** Stops one instance after the other, without waiting until those before have started again. */
  async #stopInTurn(forMs: number): Promise<void> {
    const intervalMs = Math.min(forMs, MAX_TURN_MS);
    await Promise.all(
      this.targets.instances.map(async (instance, at) => {
        await delay(at * intervalMs);
        await this.#stop(instance, forMs);
      }),
    );
  }

  /** All plain servers answer 500 while each instance starts again, one after the other. */
  async #restartWhileServersFail(forMs: number): Promise<void> {
    const plain = this.targets.servers.filter(({ name }) => name.startsWith('p'));
    for (const server of plain) server.behaviour = 'error';
    for (const instance of this.targets.instances) {
      await restart(instance, 'SIGKILL', Math.min(forMs, MAX_TURN_MS));
      await delay(Math.min(forMs, MAX_TURN_MS));
    }
    for (const server of plain) server.behaviour = 'answer';
  }

  async #cutServer(forMs: number): Promise<void> {
    const { links, linked } = this.targets;
    const link = this.random.pick(links.servers);
    const server = linked[links.servers.indexOf(link)]?.id ?? '';
    const window = { server, from: performance.now(), until: Infinity };
    this.#serverCuts.push(window);
    await cut(link, 'silent', forMs);
    window.until = performance.now();
  }

  async #cutStore(instance: SoakProcess, mode: CutMode, forMs: number): Promise<void> {
    const { links, instances } = this.targets;
    const window = { from: performance.now(), until: Infinity };
    instance.storeCuts.push(window);
    await cut(links.instances[instances.indexOf(instance)]?.store, mode, forMs);
    window.until = performance.now();
  }

  async #storeFault(fault: 'silent' | 'down', forMs: number): Promise<void> {
    const window = { from: performance.now(), until: Infinity };
    this.storeFaults.push(window);
    this.targets.store.fault = fault;
    await delay(forMs);
    this.targets.store.fault = 'none';
    window.until = performance.now();
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
    this.targets.configuration.restartServer(server);
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

async function cut(link: Link | undefined, mode: CutMode, forMs: number): Promise<void> {
  link?.setCut(mode);
  await delay(forMs);
  link?.setCut('none');
}

async function slow(link: Link, forMs: number): Promise<void> {
  link.setLatency(100);
  await delay(forMs);
  link.setLatency(0);
}
