/** The services that exchange demand and pressure of a whole fleet, on a manual clock. */

import type { ConditionSums, FleetInstance, ServiceDemand } from '@flamingocourse/core';
import type { DemandSource } from '@flamingocourse/gateway';
import type { TestContext } from 'node:test';
import { syncBuiltinESMExports } from 'node:module';
import { setImmediate as turn, setTimeout as delay } from 'node:timers/promises';
import { packSums, packedSumsSchema, unpackSums } from '@flamingocourse/core';
import { AdaptiveLoad, ConditionCalls } from '@flamingocourse/gateway';
import { Kernel, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { FleetConditionsService } from '../../../packages/gateway/src/node/fleetConditionsService.js';
import { InstanceDirectory } from '../../../packages/gateway/src/node/instanceDirectory.js';
import { createRandom } from '../../../packages/lab/src/runtime/random.js';
import { testContext } from '../testContext.js';

/** One-way latency in milliseconds between two instances. */
const LATENCY_MS = 1;
const CALL_TIMEOUT_MS = 300;
const STEP_MS = 5;

/** A store that is down: whatever is asked of it fails. */
const lostStore = new Proxy(new MemoryObjectStore(), {
  get: (_store, name) => {
    throw new Error(`the store is down: ${String(name)}`);
  },
});

export const SERVICE = 'writer';

/** Demand of one account, in slots. */
export function demandOf(accounts: Record<string, number>, crowded = true): ServiceDemand {
  const rooms = Object.entries(accounts).map(([account, standard]) => {
    return [account, { first: 0, standard, background: 0 }] as const;
  });
  const rest = { accounts: 0, room: { first: 0, standard: 0, background: 0 } };
  const served = Object.values(accounts).reduce((sum, each) => sum + each, 0);
  return { accounts: Object.fromEntries(rooms), rest, served, lateness: 0, crowded };
}

/** A demand that a test sets. */
export class SetDemand implements DemandSource {
  current: Record<string, ServiceDemand> = {};

  demand(): Record<string, ServiceDemand> {
    return this.current;
  }
}

/** A list of instances that a test changes. */
export class SetInstances extends InstanceDirectory {
  #known: readonly FleetInstance[] = [];
  #near: readonly FleetInstance[] = [];

  set(known: readonly FleetInstance[], dataCentre: string): void {
    this.#known = known;
    this.#near = known.filter((each) => each.dataCentre === dataCentre);
  }

  override get all(): readonly FleetInstance[] {
    return this.#known;
  }

  override get inDataCentre(): readonly FleetInstance[] {
    return this.#near;
  }

  override start(): void {
    // the list is set by the test.
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }
}

class MemoryCalls extends ConditionCalls {
  readonly #fleet: ConditionsFleet;
  readonly #from: FleetInstance;

  constructor(fleet: ConditionsFleet, from: FleetInstance) {
    super();
    this.#fleet = fleet;
    this.#from = from;
  }

  override async share(
    to: FleetInstance,
    sums: ConditionSums,
  ): Promise<Result<ConditionSums, string>> {
    const message = JSON.stringify(packSums(sums));
    this.#fleet.count(this.#from.name, message.length, to.name);
    await delay(LATENCY_MS);
    if (this.#fleet.loses(this.#from, to)) {
      await delay(CALL_TIMEOUT_MS);
      return Result.err('no answer in time');
    }
    const received = unpackSums(packedSumsSchema.parse(JSON.parse(message)));
    const answer = this.#fleet.process(to.name).conditions.answer(received);
    await delay(LATENCY_MS);
    if (answer.isErr) return answer;
    const packed = JSON.stringify(packSums(answer.value));
    this.#fleet.count(this.#from.name, packed.length);
    return Result.ok(unpackSums(packedSumsSchema.parse(JSON.parse(packed))));
  }
}

/** One process of an instance. */
export interface ConditionsProcess {
  conditions: FleetConditionsService;
  demand: SetDemand;
  instances: SetInstances;
  kernel: Kernel;
}

export class ConditionsFleet {
  readonly clock = new ManualClock();
  readonly log = new MemoryEventLog();
  readonly #t: TestContext;
  readonly #random = createRandom(7);
  readonly #isOn: boolean;
  #listed: FleetInstance[] = [];
  readonly #processes = new Map<string, ConditionsProcess>();
  readonly #cut = new Set<string>();
  readonly #silent = new Set<string>();
  /** Calls and bytes sent and answered, by the calling instance. */
  readonly traffic = new Map<string, { calls: number; bytes: number }>();
  /** Calls received, by instance. */
  readonly received = new Map<string, number>();

  private constructor(t: TestContext, isOn: boolean) {
    this.#t = t;
    this.#isOn = isOn;
  }

  static async start(
    t: TestContext,
    shape: { dataCentres: number; instances: number; isOn?: boolean },
  ): Promise<ConditionsFleet> {
    t.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
    syncBuiltinESMExports();
    const fleet = new ConditionsFleet(t, shape.isOn ?? true);
    const names = Array.from({ length: shape.instances }, (_, i) => `edge-${String(i)}`);
    fleet.#listed = names.map((name, i) => {
      const dataCentre = `hall-${String(i % shape.dataCentres)}`;
      return { name, dataCentre, meshUrl: `http://${name}` };
    });
    for (const instance of fleet.#listed) await fleet.#startProcess(instance);
    t.after(async () => {
      await Promise.all([...fleet.#processes.values()].map(({ kernel }) => kernel.stop()));
      t.mock.timers.reset();
      syncBuiltinESMExports();
    });
    return fleet;
  }

  get names(): string[] {
    return this.#listed.map(({ name }) => name);
  }

  dataCentreOf(name: string): string {
    return this.#listed.find((each) => each.name === name)?.dataCentre ?? '';
  }

  /** Lists and starts another instance. */
  async join(name: string, dataCentre: string): Promise<void> {
    const instance = { name, dataCentre, meshUrl: `http://${name}` };
    this.#listed = [...this.#listed, instance];
    await this.#startProcess(instance);
    for (const { name: each } of this.#listed) {
      this.process(each).instances.set(this.#listed, this.dataCentreOf(each));
    }
  }

  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.#t.mock.timers.tick(STEP_MS);
      await turn();
    }
  }

  process(name: string): ConditionsProcess {
    const found = this.#processes.get(name);
    if (!found) throw new RangeError(`no process of ${name}`);
    return found;
  }

  /** Demand of an account in the view of an instance, in slots. */
  seen(name: string, account: string): number {
    const view = this.process(name).conditions.view(this.clock.now());
    return view.demand[SERVICE]?.accounts[account]?.standard ?? 0;
  }

  /** The instance of a data centre that received the most calls. */
  collectorOf(dataCentre: string): string {
    const near = this.names.filter((name) => this.dataCentreOf(name) === dataCentre);
    const calls = (name: string): number => this.received.get(name) ?? 0;
    return near.reduce((best, name) => (calls(name) > calls(best) ? name : best));
  }

  setSilent(name: string, isSilent: boolean): void {
    if (isSilent) this.#silent.add(name);
    else this.#silent.delete(name);
  }

  setCut(dataCentre: string, isCut: boolean): void {
    if (isCut) this.#cut.add(dataCentre);
    else this.#cut.delete(dataCentre);
  }

  loses(from: FleetInstance, to: FleetInstance): boolean {
    if (this.#silent.has(from.name) || this.#silent.has(to.name)) return true;
    return (
      from.dataCentre !== to.dataCentre &&
      (this.#cut.has(from.dataCentre) || this.#cut.has(to.dataCentre))
    );
  }

  count(from: string, bytes: number, to?: string): void {
    const { calls, bytes: before } = this.traffic.get(from) ?? { calls: 0, bytes: 0 };
    const made = to === undefined ? 0 : 1;
    this.traffic.set(from, { calls: calls + made, bytes: before + bytes });
    if (to !== undefined) this.received.set(to, (this.received.get(to) ?? 0) + 1);
  }

  async #startProcess(instance: FleetInstance): Promise<void> {
    const base = testContext(this.clock, this.log, lostStore);
    const { name, dataCentre } = instance;
    const context = {
      ...base,
      settings: { ...base.settings, instance: name, dataCentre },
      adaptiveLoad: new AdaptiveLoad(() => this.#isOn),
      random: () => this.#random.fraction(),
    };
    const conditions = new FleetConditionsService(context, new MemoryCalls(this, instance));
    const demand = new SetDemand();
    conditions.setDemandSource(demand);
    const instances = new SetInstances(context);
    instances.set(this.#listed, dataCentre);
    const kernel = new Kernel().register(instances).register(conditions);
    this.#processes.set(name, { conditions, demand, instances, kernel });
    await kernel.start();
  }
}
