/**
 * One run of the routing experiment: a simulation of servers and requests in virtual time. Routers
 * decide with the logic of core.
 */

import type { BackendServer, ServerId } from '@flamingocourse/core';
import type { RouterEnvironment } from './routerModel.js';
import type { ServerJob } from './serverModel.js';
import type { RoutingExperimentOptions, RoutingExperimentResult } from './types.js';
import { ClassStats } from './classStats.js';
import { createRandom, RequestSource } from './requestSource.js';
import { RouterModel } from './routerModel.js';
import { BATCH_SLOTS, ServerModel } from './serverModel.js';
import { VirtualLoop } from './virtualLoop.js';

/** Data centres modelled on the `svifvakt` deployment: 7 routers, 8 model servers. */
const dataCentres = [
  { id: 'dc-a', routers: 3, servers: 3 },
  { id: 'dc-b', routers: 2, servers: 3 },
  { id: 'dc-c', routers: 2, servers: 2 },
] as const;

const DEFAULT_SECONDS = 90;
const WARM_UP_MS = 5_000;
/** Longer than any deadline of a request, so that all are answered or refused at the end. */
const DRAIN_MS = 45_000;
const FAULT_FROM_MS = 15_000;
const FAULT_UNTIL_MS = 60_000;
const SLOW_FACTOR = 4;
/** Data centre and server that the faults affect. */
const faultyCentre = 'dc-b';
const faultyServer = 'dc-b/s1';
/** One-way latency between data centres, in milliseconds. */
const NETWORK_MS = 0.5;
const LOAD_POLL_MS = 1_000;
/** Age of a load report when it arrives, in milliseconds. */
const LOAD_LAG_MS = 500;

/**
 * Runs one policy in one scenario. The same seed gives the same requests to every policy.
 *
 * @example
 * const result = runRoutingExperiment({ seed: 1, policy, scenario, capacityPerSecond: 60 });
 */
export function runRoutingExperiment(options: RoutingExperimentOptions): RoutingExperimentResult {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const run = new ExperimentRun(options);
  run.start(seconds * 1_000);
  return run.result(seconds);
}

class ExperimentRun {
  readonly #options: RoutingExperimentOptions;
  readonly #loop = new VirtualLoop();
  readonly #stats = new ClassStats(WARM_UP_MS);
  readonly #source: RequestSource;
  readonly #servers = new Map<ServerId, { model: ServerModel; dataCentre: string }>();
  readonly #routers: RouterModel[] = [];
  /** Jobs as the server gets them, by the job of the router. */
  readonly #networkJobs = new WeakMap<ServerJob, ServerJob>();
  #partitioned = false;
  #producedTokens = 0;

  constructor(options: RoutingExperimentOptions) {
    this.#options = options;
    this.#source = new RequestSource(options.seed);
    const listed = this.#createServers();
    const concurrency = options.scenario.declaredConcurrency ?? BATCH_SLOTS;
    const environment: RouterEnvironment = {
      loop: this.#loop,
      stats: this.#stats,
      random: createRandom(options.seed + 1_000_003),
      submit: (router, server, job) => {
        this.#overNetwork(router, server, (model) => {
          model.submit(this.#viaNetwork(router, server, job));
        });
      },
      cancel: (router, server, job) => {
        this.#overNetwork(router, server, (model) => {
          model.cancel(this.#networkJobs.get(job) ?? job);
        });
      },
    };
    for (const { id, routers } of dataCentres) {
      for (let i = 0; i < routers; i += 1) {
        const { policy } = options;
        this.#routers.push(new RouterModel(id, routers, policy, concurrency, listed, environment));
      }
    }
  }

  start(endMs: number): void {
    this.#scheduleFault();
    this.#pollLoad();
    this.#scheduleArrivals(endMs);
    this.#loop.runUntil(endMs);
    this.#producedTokens = this.#sum((model) => model.producedTokens);
    // The last requests still get their answers or refusals.
    this.#loop.runUntil(endMs + DRAIN_MS);
  }

  result(seconds: number): RoutingExperimentResult {
    const { seed, policy, scenario } = this.#options;
    const lookups = this.#sum((model) => model.cacheLookups);
    const measured = seconds - WARM_UP_MS / 1_000;
    const useful = this.#stats.usefulTokens / measured;
    return {
      seed,
      policy: policy.name,
      scenario: scenario.name,
      classes: this.#stats.results(),
      usefulTokensPerSecond: useful,
      producedTokensPerSecond: this.#producedTokens / seconds,
      cacheHits: this.#sum((model) => model.cacheHits) / Math.max(1, lookups),
    };
  }

  #sum(pick: (model: ServerModel) => number): number {
    return [...this.#servers.values()].reduce((total, { model }) => total + pick(model), 0);
  }

  #createServers(): BackendServer[] {
    const slots = this.#options.scenario.batchSlots;
    return dataCentres.flatMap(({ id: dataCentre, servers }) =>
      Array.from({ length: servers }, (_, i): BackendServer => {
        const id = `${dataCentre}/s${i + 1}`;
        this.#servers.set(id, { model: new ServerModel(this.#loop, slots), dataCentre });
        return { service: 'floki-llm', id, dataCentre, url: `http://${id}`, state: 'live' };
      }),
    );
  }

  #scheduleArrivals(endMs: number): void {
    const rate = this.#options.capacityPerSecond * this.#options.scenario.load;
    this.#loop.after(this.#source.nextGapMs(rate), () => {
      if (this.#loop.now >= endMs) return;
      const request = this.#source.next(this.#loop.now);
      this.#stats.offered(request);
      this.#routers[this.#source.pickRouter(this.#routers.length)]?.receive(request);
      this.#scheduleArrivals(endMs);
    });
  }

  #pollLoad(): void {
    for (const [id, { model }] of this.#servers) {
      if (!model.up) continue;
      const report = model.load;
      this.#loop.after(LOAD_LAG_MS, () => {
        for (const router of this.#routers) {
          if (this.#reachable(router.dataCentre, id)) router.reportLoad(id, report);
        }
      });
    }
    this.#loop.after(LOAD_POLL_MS, () => {
      this.#pollLoad();
    });
  }

  #scheduleFault(): void {
    const { fault } = this.#options.scenario;
    const server = this.#servers.get(faultyServer)?.model;
    if (fault === 'none' || !server) return;
    this.#loop.after(FAULT_FROM_MS, () => {
      if (fault === 'slow-server') server.slowFactor = SLOW_FACTOR;
      if (fault === 'crashed-server') server.crash();
      if (fault === 'cut-data-centre') this.#partitioned = true;
    });
    this.#loop.after(FAULT_UNTIL_MS, () => {
      server.slowFactor = 1;
      server.up = true;
      this.#partitioned = false;
    });
  }

  /** Runs an action at a server after the network latency; a partition drops it silently. */
  #overNetwork(router: RouterModel, id: ServerId, action: (model: ServerModel) => void): void {
    const server = this.#servers.get(id);
    if (!server) return;
    this.#loop.after(this.#latencyMs(router, id), () => {
      if (this.#reachable(router.dataCentre, id)) action(server.model);
    });
  }

  /** Wraps a job so that its events arrive after the network latency, or are lost in a partition. */
  #viaNetwork(router: RouterModel, id: ServerId, job: ServerJob): ServerJob {
    const back = (event: () => void) => () => {
      this.#loop.after(this.#latencyMs(router, id), () => {
        if (this.#reachable(router.dataCentre, id)) event();
      });
    };
    const sent = {
      ...job,
      onFirstToken: back(job.onFirstToken),
      onDone: back(job.onDone),
      onFailed: back(job.onFailed),
    };
    this.#networkJobs.set(job, sent);
    return sent;
  }

  #latencyMs(router: RouterModel, id: ServerId): number {
    return this.#servers.get(id)?.dataCentre === router.dataCentre ? 0 : NETWORK_MS;
  }

  #reachable(from: string, id: ServerId): boolean {
    const to = this.#servers.get(id)?.dataCentre;
    return !this.#partitioned || from === to || (from !== faultyCentre && to !== faultyCentre);
  }
}
