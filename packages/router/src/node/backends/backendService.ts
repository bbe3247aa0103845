/** Maintains one lane per declared service, using the instance list and load reports. */

import type { BackendServer, Refusal, ServiceDeclaration } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { Placement, PlacementRequest } from '../../types/backends.js';
import type { DrainSource, InstanceSource, QuarantineExchange } from '../../types/backendPorts.js';
import type { RouterContext } from '../../types/routerContext.js';
import { AdmissionQueue, createServerChooser, ServerPool } from '@flamingocourse/core';
import { awaitPromise, sleep, startLoop } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { Backends } from '../../types/backends.js';
import { Configuration } from '../../types/configuration.js';
import { Fleet } from '../../types/fleet.js';
import { notRun } from '../../utils/problem.js';
import { probeLoad } from './loadProbe.js';
import { QuarantineRegister } from './quarantineRegister.js';
import { ServiceLane } from './serviceLane.js';

const PUMP_INTERVAL_MS = 20;
const UNKNOWN_SERVICE_RETRY_MS = 1_000;

/** Options of {@link BackendService}. */
export interface BackendServiceOptions {
  context: RouterContext;
  instances: InstanceSource;
  quarantine: QuarantineExchange;
  drains: DrainSource;
  /** Returns numbers from 0 to 1 for the choice of servers; seeded in tests. */
  random: () => number;
}

interface DeclaredLane {
  declaration: ServiceDeclaration;
  lane: ServiceLane;
}

/** Implements {@link Backends} with the decision functions of core. */
export class BackendService extends Backends {
  override readonly dependsOn = ['configuration', 'fleet', 'drains'];

  readonly #options: BackendServiceOptions;
  readonly #lanes = new Map<string, DeclaredLane>();
  readonly #register: QuarantineRegister;
  #configuration!: Configuration;
  #fleet!: Fleet;
  #drained = new Set<string>();
  #running = false;
  #unsubscribe: (() => void) | undefined;

  constructor(options: BackendServiceOptions) {
    super();
    this.#options = options;
    const { clock, log } = options.context;
    this.#register = new QuarantineRegister(clock, log, options.quarantine);
  }

  override async start(kernel: Kernel): Promise<void> {
    this.#configuration = kernel.get('configuration', Configuration);
    this.#fleet = kernel.get('fleet', Fleet);
    this.#running = true;
    this.#unsubscribe = this.#configuration.onChange(() => {
      this.#syncLanes();
    });
    this.#syncLanes();
    this.#options.drains.onDrains((drains) => {
      this.#drained = new Set(drains.map(({ service, server }) => `${service}/${server}`));
      this.#applyDrains();
    });
    await this.#refreshLists();
    const onFailure = (err: unknown): void => {
      kernel.reportFailure(err, this.name);
    };
    const { loadPollMs } = this.#options.context.settings.routing;
    startLoop(() => this.#repeat(loadPollMs, () => this.#refreshLists()), onFailure);
    startLoop(() => this.#repeat(loadPollMs, () => this.#refreshLoads()), onFailure);
    startLoop(() => this.#repeat(PUMP_INTERVAL_MS, () => this.#pumpAll()), onFailure);
  }

  override stop(): void {
    this.#running = false;
    this.#unsubscribe?.();
    for (const { lane } of this.#lanes.values()) lane.clear();
  }

  override place(request: PlacementRequest): Promise<Result<Placement, Refusal>> {
    const found = this.#lanes.get(request.service);
    if (found) return found.lane.place(request);
    const detail = `Service "${request.service}" is not in force at this router yet.`;
    return Promise.resolve(
      Result.err(notRun('no-backend-server', detail, UNKNOWN_SERVICE_RETRY_MS)),
    );
  }

  override mayRetry(service: string): boolean {
    return this.#lanes.get(service)?.lane.mayRetry() ?? false;
  }

  /** Number of requests that wait for a place, over all services. */
  get waiting(): number {
    return [...this.#lanes.values()].reduce((sum, { lane }) => sum + lane.waiting, 0);
  }

  *#repeat(ms: number, step: () => Promise<void>): Generator<unknown, void, unknown> {
    while (this.#running) {
      yield* awaitPromise(step());
      yield* sleep(ms);
    }
  }

  #syncLanes(): void {
    const declared = new Set<string>();
    for (const declaration of this.#configuration.services()) {
      declared.add(declaration.name);
      const known = this.#lanes.get(declaration.name);
      if (known && sameLimits(known.declaration, declaration)) known.declaration = declaration;
      else this.#openLane(declaration);
      this.#lanes.get(declaration.name)?.lane.setTargets(this.#targetsOf(declaration.name));
    }
    for (const [name, { lane }] of this.#lanes) {
      if (declared.has(name)) continue;
      this.#lanes.delete(name);
      lane.clear();
    }
  }

  #openLane(declaration: ServiceDeclaration): void {
    const { settings, clock } = this.#options.context;
    const before = this.#lanes.get(declaration.name);
    const pool = new ServerPool({
      dataCentre: settings.dataCentre,
      concurrencyPerServer: declaration.concurrencyPerServer,
    });
    if (before) pool.applyList(before.lane.servers, clock.now());
    const lane = new ServiceLane({
      pool,
      queue: new AdmissionQueue({ maxSize: settings.routing.maxQueue }),
      chooser: createServerChooser(
        declaration.type === 'model' ? 'prefix-affinity' : 'power-of-two',
      ),
      quarantine: this.#register,
      clock,
      random: this.#options.random,
      background: this.#options.context.background,
    });
    before?.lane.clear();
    this.#lanes.set(declaration.name, { declaration, lane });
  }

  #targetsOf(service: string): Map<string, number> {
    const classes = this.#configuration.workClasses().filter((item) => item.service === service);
    return new Map(classes.map((item) => [item.name, item.target.firstTokenMs]));
  }

  async #refreshLists(): Promise<void> {
    const sharers = this.#fleet.localPeers().length + 1;
    await Promise.all(
      [...this.#lanes.values()].map(async ({ declaration, lane }) => {
        lane.pool.setSharers(sharers);
        const records = await this.#options.instances.list(declaration.discovery.instanceList);
        if (!records) return;
        const servers = records.map((record) => toServer(declaration.name, record));
        lane.pool.applyList(servers, this.#options.context.clock.now());
        lane.pump();
      }),
    );
    this.#applyDrains();
  }

  #applyDrains(): void {
    for (const [service, { lane }] of this.#lanes) {
      for (const { id } of lane.servers) {
        lane.pool.setDrained(id, this.#drained.has(`${service}/${id}`));
      }
    }
  }

  async #refreshLoads(): Promise<void> {
    const { clock } = this.#options.context;
    const probes = [...this.#lanes.values()].flatMap(({ lane }) =>
      lane.servers.map(async (server) => {
        const probed = await probeLoad(server.url);
        if (probed.type === 'leaving') lane.pool.markLeaving(server.id);
        if (probed.type === 'load') lane.pool.reportLoad(server.id, probed.report, clock.now());
      }),
    );
    await Promise.all(probes);
  }

  #pumpAll(): Promise<void> {
    for (const { lane } of this.#lanes.values()) lane.pump();
    return Promise.resolve();
  }
}

function sameLimits(a: ServiceDeclaration, b: ServiceDeclaration): boolean {
  return a.concurrencyPerServer === b.concurrencyPerServer && a.type === b.type;
}

function toServer(
  service: string,
  record: { id: string; dataCentre: string; url: string; state: 'live' | 'leaving' },
): BackendServer {
  const { id, dataCentre, url, state } = record;
  return { service, id, dataCentre, url, state };
}
