/** Routers with their real budget services in one process, on a store and a network in memory. */

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
import { Kernel, MemoryEventLog, NoMetrics, SystemClock } from '@flamingocourse/kernel';
import { MoneyService, settingsDefaults } from '@flamingocourse/router';
import { setTimeout as delay } from 'node:timers/promises';
import { Result } from 'true-myth';
import { CountingStore } from './countingStore.js';
import { MeasuredConfiguration, MeasuredFleet } from './measuredFleet.js';

/** Size and faults of a world. */
export interface WorldOptions {
  dataCentres: number;
  routersPerDataCentre: number;
  budgets: ReadonlyMap<AccountId, Tokens>;
  policy: DeploymentDeclaration['policy'];
  rideThroughSeconds: number;
  /** Time of one platform call, in milliseconds. */
  storeLatencyMs: number;
}

/** Time of one question to a peer, there and back, in milliseconds. */
const PEER_LATENCY_MS = 1;

/** Time after which a call into a cut is given up, in milliseconds. */
const CUT_TIMEOUT_MS = 100;

/** Longest wait for all routers to be ready, in milliseconds. */
const READY_TIMEOUT_MS = 10_000;

const POLL_MS = 5;

/** One router of the run. */
export class MeasuredRouter {
  readonly kernel = new Kernel();
  readonly fleet: MeasuredFleet;
  readonly money: MoneyService;
  readonly failures: unknown[] = [];
  /** When it was killed, if it was. */
  killedAt: EpochMs | undefined;

  constructor(world: BudgetWorld, info: MemberInfo) {
    this.fleet = new MeasuredFleet(world, info);
    const context = {
      settings: settingsOf(info),
      clock: new SystemClock(),
      log: new MemoryEventLog(),
      metrics: new NoMetrics(),
    };
    const store = new ReachedStore(world, this);
    const peers = new ReachedPeers(world, this);
    this.money = new MoneyService({ context, store, peers });
    this.kernel.onFailure((err) => this.failures.push(err));
    this.kernel.register(this.fleet).register(world.configuration).register(this.money);
  }
}

/** All routers of a run and their platform. */
export class BudgetWorld {
  readonly store: CountingStore;
  readonly routers: MeasuredRouter[] = [];
  readonly configuration: MeasuredConfiguration;
  readonly #cuts = new Map<string, EpochMs>();

  constructor(options: WorldOptions) {
    const { policy, rideThroughSeconds, budgets } = options;
    this.store = new CountingStore(options.storeLatencyMs);
    const deployment = {
      kind: 'Deployment',
      name: 'measured',
      policy,
      rideThroughSeconds,
    } as const;
    this.configuration = new MeasuredConfiguration(budgets, deployment);
    for (let place = 0; place < options.routersPerDataCentre; place += 1) {
      for (let index = 0; index < options.dataCentres; index += 1) {
        const instance = `router-${this.routers.length + 1}`;
        this.routers.push(new MeasuredRouter(this, memberOf(instance, `dc-${index + 1}`)));
      }
    }
  }

  /** Starts all routers and waits until they are ready. */
  async start(): Promise<void> {
    await Promise.all(this.routers.map((router) => router.kernel.start()));
    const end = Date.now() + READY_TIMEOUT_MS;
    while (!this.routers.every((router) => router.money.ready)) {
      if (Date.now() > end)
        throw new Error('not all routers became ready; run fewer things at once.');
      await delay(POLL_MS);
    }
  }

  /** Ends all cuts and stops all routers; one that was killed stops without reaching anything. */
  async stop(): Promise<void> {
    this.#cuts.clear();
    await Promise.all(this.routers.map((router) => router.kernel.stop()));
  }

  /** Cuts a data centre off from the platform and from all others. */
  cut(dataCentre: string): void {
    this.#cuts.set(dataCentre, Date.now());
  }

  /** Ends the cut of a data centre. */
  heal(dataCentre: string): void {
    this.#cuts.delete(dataCentre);
  }

  all(): MemberInfo[] {
    return this.routers.map((router) => router.fleet.self);
  }

  /** Whether a router reaches the platform. */
  reachesPlatform(router: MeasuredRouter): boolean {
    return router.killedAt === undefined && !this.#cuts.has(router.fleet.self.dataCentre);
  }

  /** Since when two routers cannot talk; `undefined` when they can. */
  partedSince(from: MemberInfo, to: MemberInfo): EpochMs | undefined {
    const killed = this.routers
      .filter(({ fleet }) => [from.instance, to.instance].includes(fleet.self.instance))
      .map((router) => router.killedAt);
    const isFar = from.dataCentre !== to.dataCentre;
    const cuts = isFar ? [this.#cuts.get(from.dataCentre), this.#cuts.get(to.dataCentre)] : [];
    const times = [...killed, ...cuts].filter((at) => at !== undefined);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  healthOf(from: MemberInfo, to: MemberInfo): Peer['health'] {
    const since = this.partedSince(from, to);
    if (since === undefined) return 'alive';
    const { suspectMs, goneMs } = settingsDefaults.mesh;
    const missing = Date.now() - since;
    if (missing < suspectMs) return 'alive';
    return missing < goneMs ? 'suspect' : 'gone';
  }
}

/** The platform as one router reaches it. */
class ReachedStore implements ObjectStore {
  readonly #world: BudgetWorld;
  readonly #router: MeasuredRouter;

  constructor(world: BudgetWorld, router: MeasuredRouter) {
    this.#world = world;
    this.#router = router;
  }

  get: ObjectStore['get'] = (...args) => this.#reach((store) => store.get(...args));
  list: ObjectStore['list'] = (...args) => this.#reach((store) => store.list(...args));
  create: ObjectStore['create'] = (...args) => this.#reach((store) => store.create(...args));
  update: ObjectStore['update'] = (...args) => this.#reach((store) => store.update(...args));

  async #reach<T>(
    ask: (store: CountingStore) => Promise<Result<T, StoreError>>,
  ): Promise<Result<T, StoreError>> {
    if (!this.#world.reachesPlatform(this.#router)) {
      await lateAnswer();
      return unreachable();
    }
    const answer = await ask(this.#world.store);
    // a reply that a cut overtakes is lost, though the call took effect.
    return this.#world.reachesPlatform(this.#router) ? answer : unreachable();
  }
}

/** The other routers as one router reaches them. */
class ReachedPeers implements MoneyPeers {
  readonly #world: BudgetWorld;
  readonly #router: MeasuredRouter;

  constructor(world: BudgetWorld, router: MeasuredRouter) {
    this.#world = world;
    this.#router = router;
  }

  appendLines: MoneyPeers['appendLines'] = (peer, lines) =>
    this.#ask(peer, (money) => money.handleAppendLines(lines));
  keepLines: MoneyPeers['keepLines'] = (peer, lines) =>
    this.#ask(peer, (money) => Promise.resolve(money.handleKeepLines(lines)));
  fenceHolder: MoneyPeers['fenceHolder'] = (peer, holder) =>
    this.#ask(peer, (money) => Promise.resolve(money.handleFenceHolder(holder)));
  recall: MoneyPeers['recall'] = (peer, account, amount, dataCentre) =>
    this.#ask(peer, (money) => money.handleRecall(account, amount, dataCentre));

  async #ask<T>(
    peer: string,
    ask: (money: MoneyService) => Promise<Result<T, PeerFault>>,
  ): Promise<Result<T, PeerFault>> {
    await delay(PEER_LATENCY_MS);
    const target = this.#world.routers.find(({ fleet }) => fleet.self.incarnation === peer);
    if (!target || this.#isParted(target)) {
      await lateAnswer();
      return Result.err('unreachable');
    }
    const answer = await ask(target.money);
    return this.#isParted(target) ? Result.err('unreachable') : answer;
  }

  #isParted(target: MeasuredRouter): boolean {
    return this.#world.partedSince(this.#router.fleet.self, target.fleet.self) !== undefined;
  }
}

async function lateAnswer(): Promise<void> {
  await delay(CUT_TIMEOUT_MS);
}

function unreachable(): Result<never, StoreError> {
  return Result.err({ code: 'unreachable', message: 'the router is cut off.' });
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

/** The defaults that routers are shipped with. */
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
