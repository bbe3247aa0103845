/** Routers with real budget services in one process, with an in-memory store and network. */

import type {
  AccountId,
  DeploymentDeclaration,
  EpochMs,
  MemberInfo,
  Tokens,
} from '@flamingocourse/core';
import type {
  MoneyPeers,
  ObjectStore,
  Peer,
  PeerFault,
  RouterSettings,
  StoreError,
} from '@flamingocourse/router';
import {
  BackgroundWork,
  Kernel,
  MemoryEventLog,
  NoMetrics,
  SystemClock,
} from '@flamingocourse/kernel';
import { MoneyService, settingsDefaults } from '@flamingocourse/router';
import { setTimeout as delay } from 'node:timers/promises';
import { Result } from 'true-myth';
import { CountingStore } from './countingStore.js';
import { InMemoryConfiguration, InMemoryFleet } from './inMemoryFleet.js';

/** Size, budgets and store latency of the simulated fleet. */
export interface SimulationOptions {
  dataCentres: number;
  routersPerDataCentre: number;
  budgets: ReadonlyMap<AccountId, Tokens>;
  policy: DeploymentDeclaration['policy'];
  rideThroughSeconds: number;
  /** Latency of one platform call, in milliseconds. */
  storeLatencyMs: number;
}

/** Round-trip time of one call to a peer, in milliseconds. */
const PEER_LATENCY_MS = 1;

/** Timeout of a call across a partition, in milliseconds. */
const PARTITION_TIMEOUT_MS = 100;

/** Time limit for all routers to be ready, in milliseconds. */
const READY_TIMEOUT_MS = 10_000;

const POLL_MS = 5;

/** One router of the fleet. */
export class SimulatedRouter {
  readonly kernel = new Kernel();
  readonly fleet: InMemoryFleet;
  readonly money: MoneyService;
  readonly failures: unknown[] = [];
  /** Time at which the router was killed; `undefined` if it was not. */
  killedAt: EpochMs | undefined;

  constructor(simulation: BudgetSimulation, info: MemberInfo) {
    this.fleet = new InMemoryFleet(simulation, info);
    const context = {
      settings: settingsOf(info),
      clock: new SystemClock(),
      log: new MemoryEventLog(),
      metrics: new NoMetrics(),
      background: new BackgroundWork(),
    };
    const store = new RouterStore(simulation, this);
    const peers = new RouterPeers(simulation, this);
    this.money = new MoneyService({ context, store, peers });
    this.kernel.onFailure((err) => this.failures.push(err));
    this.kernel.register(this.fleet).register(simulation.configuration).register(this.money);
  }
}

/** All routers of a run, and their platform and network. */
export class BudgetSimulation {
  readonly store: CountingStore;
  readonly routers: SimulatedRouter[] = [];
  readonly configuration: InMemoryConfiguration;
  readonly #cuts = new Map<string, EpochMs>();

  constructor(options: SimulationOptions) {
    const { policy, rideThroughSeconds, budgets } = options;
    this.store = new CountingStore(options.storeLatencyMs);
    const deployment = {
      kind: 'Deployment',
      name: 'measured',
      policy,
      rideThroughSeconds,
    } as const;
    this.configuration = new InMemoryConfiguration(budgets, deployment);
    for (let place = 0; place < options.routersPerDataCentre; place += 1) {
      for (let index = 0; index < options.dataCentres; index += 1) {
        const instance = `router-${this.routers.length + 1}`;
        this.routers.push(new SimulatedRouter(this, memberOf(instance, `dc-${index + 1}`)));
      }
    }
  }

  /** Starts all routers and waits until they are ready. */
  async start(): Promise<void> {
    await Promise.all(this.routers.map((router) => router.kernel.start()));
    const end = Date.now() + READY_TIMEOUT_MS;
    while (!this.routers.every((router) => router.money.ready)) {
      if (Date.now() > end)
        throw new Error('not all routers became ready in time; the machine may be overloaded.');
      await delay(POLL_MS);
    }
  }

  /** Ends all partitions and stops all routers; killed routers stay unreachable. */
  async stop(): Promise<void> {
    this.#cuts.clear();
    await Promise.all(this.routers.map((router) => router.kernel.stop()));
  }

  /** Partitions a data centre from the platform and from all other data centres. */
  cut(dataCentre: string): void {
    this.#cuts.set(dataCentre, Date.now());
  }

  /** Ends the partition of a data centre. */
  heal(dataCentre: string): void {
    this.#cuts.delete(dataCentre);
  }

  all(): MemberInfo[] {
    return this.routers.map((router) => router.fleet.self);
  }

  /** Returns whether a router can reach the platform. */
  canReachPlatform(router: SimulatedRouter): boolean {
    return router.killedAt === undefined && !this.#cuts.has(router.fleet.self.dataCentre);
  }

  /** Returns since when two routers cannot reach each other; `undefined` if they can. */
  unreachableSince(from: MemberInfo, to: MemberInfo): EpochMs | undefined {
    const killed = this.routers
      .filter(({ fleet }) => [from.instance, to.instance].includes(fleet.self.instance))
      .map((router) => router.killedAt);
    const isFar = from.dataCentre !== to.dataCentre;
    const cuts = isFar ? [this.#cuts.get(from.dataCentre), this.#cuts.get(to.dataCentre)] : [];
    const times = [...killed, ...cuts].filter((at) => at !== undefined);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  healthOf(from: MemberInfo, to: MemberInfo): Peer['health'] {
    const since = this.unreachableSince(from, to);
    if (since === undefined) return 'alive';
    const { suspectMs, goneMs } = settingsDefaults.mesh;
    const missing = Date.now() - since;
    if (missing < suspectMs) return 'alive';
    return missing < goneMs ? 'suspect' : 'gone';
  }
}

/** Object store of one router: the shared store, unless the router cannot reach it. */
class RouterStore implements ObjectStore {
  readonly #simulation: BudgetSimulation;
  readonly #router: SimulatedRouter;

  constructor(simulation: BudgetSimulation, router: SimulatedRouter) {
    this.#simulation = simulation;
    this.#router = router;
  }

  get: ObjectStore['get'] = (...args) => this.#call((store) => store.get(...args));
  list: ObjectStore['list'] = (...args) => this.#call((store) => store.list(...args));
  create: ObjectStore['create'] = (...args) => this.#call((store) => store.create(...args));
  update: ObjectStore['update'] = (...args) => this.#call((store) => store.update(...args));

  async #call<T>(
    call: (store: CountingStore) => Promise<Result<T, StoreError>>,
  ): Promise<Result<T, StoreError>> {
    if (!this.#simulation.canReachPlatform(this.#router)) {
      await waitForTimeout();
      return unreachable();
    }
    const answer = await call(this.#simulation.store);
    // if a partition starts during the call, the reply is lost although the call took effect.
    return this.#simulation.canReachPlatform(this.#router) ? answer : unreachable();
  }
}

/** Calls of one router to the others, with latency and partitions. */
class RouterPeers implements MoneyPeers {
  readonly #simulation: BudgetSimulation;
  readonly #router: SimulatedRouter;

  constructor(simulation: BudgetSimulation, router: SimulatedRouter) {
    this.#simulation = simulation;
    this.#router = router;
  }

  appendLines: MoneyPeers['appendLines'] = (peer, lines) =>
    this.#call(peer, (money) => money.handleAppendLines(lines));
  keepLines: MoneyPeers['keepLines'] = (peer, lines) =>
    this.#call(peer, (money) => Promise.resolve(money.handleKeepLines(lines)));
  fenceHolder: MoneyPeers['fenceHolder'] = (peer, holder) =>
    this.#call(peer, (money) => Promise.resolve(money.handleFenceHolder(holder)));
  recall: MoneyPeers['recall'] = (peer, account, amount, dataCentre) =>
    this.#call(peer, (money) => money.handleRecall(account, amount, dataCentre));

  async #call<T>(
    peer: string,
    call: (money: MoneyService) => Promise<Result<T, PeerFault>>,
  ): Promise<Result<T, PeerFault>> {
    await delay(PEER_LATENCY_MS);
    const target = this.#simulation.routers.find(({ fleet }) => fleet.self.incarnation === peer);
    if (!target || this.#isUnreachable(target)) {
      await waitForTimeout();
      return Result.err('unreachable');
    }
    const answer = await call(target.money);
    return this.#isUnreachable(target) ? Result.err('unreachable') : answer;
  }

  #isUnreachable(to: SimulatedRouter): boolean {
    return this.#simulation.unreachableSince(this.#router.fleet.self, to.fleet.self) !== undefined;
  }
}

async function waitForTimeout(): Promise<void> {
  await delay(PARTITION_TIMEOUT_MS);
}

function unreachable(): Result<never, StoreError> {
  return Result.err({ code: 'unreachable', message: 'the router is partitioned from the store.' });
}

function memberOf(instance: string, dataCentre: string): MemberInfo {
  return {
    incarnation: `${dataCentre}/${instance}/1`,
    dataCentre,
    instance,
    meshUrl: `mesh:${instance}`,
    entryUrl: `entry:${instance}`,
    state: 'serving',
    beat: 1,
    revision: 1,
  };
}

/** Default settings of a router. */
function settingsOf({ instance, dataCentre }: MemberInfo): RouterSettings {
  const { entry, mesh, platform, budget, routing, logLevel, stopTimeoutMs } = settingsDefaults;
  return {
    instance,
    dataCentre,
    fleetSecret: 'a secret of the measurement',
    entry: { ...entry, publicUrl: '' },
    mesh: { ...mesh, publicUrl: '' },
    platform: { ...platform, url: '' },
    budget,
    routing,
    logLevel,
    stopTimeoutMs,
  };
}
