/** The gossip services of a whole fleet, on a manual clock. */

import type { TestContext } from 'node:test';
import type { FleetInstance, GossipFact, GossipMessage } from '@flamingocourse/core';
import { syncBuiltinESMExports } from 'node:module';
import { setImmediate as turn, setTimeout as delay } from 'node:timers/promises';
import { Kernel, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { InstanceDirectory } from '../../../packages/gateway/src/node/instanceDirectory.js';
import { GossipService } from '../../../packages/gateway/src/node/gossipService.js';
import { GossipCalls } from '../../../packages/gateway/src/types/gossipCalls.js';
import { createRandom } from '../../../packages/lab/src/runtime/random.js';
import { testContext } from '../testContext.js';

/** One-way latency in milliseconds between two instances. */
const LATENCY_MS = 2;
/** Milliseconds after which a call without an answer times out. */
const CALL_TIMEOUT_MS = 300;
const STEP_MS = 1;

/** Size of a fleet and its message loss. */
export interface GossipFleetShape {
  dataCentres: number;
  instancesPerDataCentre: number;
  /** Fraction of messages and answers that are lost. */
  lost: number;
  seed: number;
}

/** One process of an instance. */
interface Process {
  gossip: GossipService;
  received: GossipFact[];
  kernel: Kernel;
}

/** A fixed list of all instances. */
class FixedInstances extends InstanceDirectory {
  readonly #known: readonly FleetInstance[];
  readonly #listeners: (() => void)[] = [];

  constructor(
    known: readonly FleetInstance[],
    context: ConstructorParameters<typeof InstanceDirectory>[0],
  ) {
    super(context);
    this.#known = known;
  }

  override get all(): readonly FleetInstance[] {
    return this.#known;
  }

  override onChange(listener: () => void): void {
    this.#listeners.push(listener);
    queueMicrotask(listener);
  }

  override start(): void {
    for (const listener of this.#listeners) listener();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }
}

/** Delivers one instance's messages to the others in memory. */
class GossipLink extends GossipCalls {
  readonly #fleet: GossipFleet;
  readonly #from: FleetInstance;

  constructor(fleet: GossipFleet, from: FleetInstance) {
    super();
    this.#fleet = fleet;
    this.#from = from;
  }

  override async exchange(
    to: FleetInstance,
    message: GossipMessage,
  ): Promise<Result<GossipMessage, string>> {
    this.#fleet.messages += 1;
    this.#fleet.largest = Math.max(this.#fleet.largest, JSON.stringify(message).length);
    await delay(LATENCY_MS);
    if (this.#fleet.loses(this.#from, to)) return this.#giveUp();
    const answer = this.#fleet.process(to.name).gossip.handleMessage(structuredClone(message));
    if (this.#fleet.loses(to, this.#from)) return this.#giveUp();
    await delay(LATENCY_MS);
    return Result.ok(structuredClone(answer));
  }

  async #giveUp(): Promise<Result<GossipMessage, string>> {
    await delay(CALL_TIMEOUT_MS);
    return Result.err('no answer in time');
  }
}

export class GossipFleet {
  readonly clock = new ManualClock();
  readonly log = new MemoryEventLog();
  messages = 0;
  /** Characters of the largest message. */
  largest = 0;
  readonly #t: TestContext;
  readonly #shape: GossipFleetShape;
  readonly #random;
  readonly #instances: FleetInstance[];
  readonly #processes = new Map<string, Process>();
  readonly #cut = new Set<string>();
  readonly #unreachable = new Set<string>();

  private constructor(t: TestContext, shape: GossipFleetShape) {
    this.#t = t;
    this.#shape = shape;
    this.#random = createRandom(shape.seed);
    const { dataCentres, instancesPerDataCentre } = shape;
    this.#instances = Array.from({ length: dataCentres * instancesPerDataCentre }, (_, i) => {
      const name = `edge-${String(i)}`;
      return { name, dataCentre: `hall-${String(i % dataCentres)}`, meshUrl: `http://${name}` };
    });
  }

  static async start(t: TestContext, shape: GossipFleetShape): Promise<GossipFleet> {
    t.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
    syncBuiltinESMExports();
    const fleet = new GossipFleet(t, shape);
    for (const { name } of fleet.#instances) await fleet.startProcess(name);
    t.after(async () => {
      await Promise.all([...fleet.#processes.values()].map(({ kernel }) => kernel.stop()));
      t.mock.timers.reset();
      syncBuiltinESMExports();
    });
    return fleet;
  }

  /** Starts a process of an instance; a previous one is stopped and its state is lost. */
  async startProcess(name: string): Promise<void> {
    await this.#processes.get(name)?.kernel.stop();
    const instance = this.#instances.find((each) => each.name === name);
    if (!instance) throw new RangeError(`no instance ${name}`);
    const base = testContext(this.clock, this.log, new MemoryObjectStore());
    const settings = { ...base.settings, instance: name, dataCentre: instance.dataCentre };
    const context = { ...base, settings, random: () => this.#random.fraction() };
    const incarnation = `${name}/${String(this.clock.now())}`;
    const gossip = new GossipService(context, incarnation, new GossipLink(this, instance));
    const received: GossipFact[] = [];
    gossip.onFact((item) => received.push(item.news));
    const kernel = new Kernel()
      .register(new FixedInstances(this.#instances, context))
      .register(gossip);
    this.#processes.set(name, { gossip, received, kernel });
    await kernel.start();
  }

  /** Advances the clock. */
  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.#t.mock.timers.tick(STEP_MS);
      await turn();
    }
  }

  process(name: string): Process {
    const found = this.#processes.get(name);
    if (!found) throw new RangeError(`no process of ${name}`);
    return found;
  }

  get names(): string[] {
    return this.#instances.map(({ name }) => name);
  }

  /** Number of instances that were informed of a server crash, without the one that observed it. */
  informedCount(server: string): number {
    return this.names.filter((name) => this.knows(name, server)).length;
  }

  knows(name: string, server: string): boolean {
    return this.process(name).received.some(
      (fact) => fact.type === 'crashed' && fact.server === server,
    );
  }

  /** Starts or ends a partition between a data centre and the others. */
  setCut(dataCentre: string, isCut: boolean): void {
    for (const { name, dataCentre: own } of this.#instances) {
      if (own !== dataCentre) continue;
      if (isCut) this.#cut.add(name);
      else this.#cut.delete(name);
    }
  }

  /** Drops all messages to an instance; its own messages arrive. */
  dropMessagesTo(name: string): void {
    this.#unreachable.add(name);
  }

  loses(from: FleetInstance, to: FleetInstance): boolean {
    const isCut = this.#cut.has(from.name) !== this.#cut.has(to.name);
    return isCut || this.#unreachable.has(to.name) || this.#random.chance(this.#shape.lost);
  }
}
