/**
 * One lane for each service in the configuration: its queue, servers and limits in this process.
 */

import type { Kernel } from '@flamingocourse/kernel';
import type {
  ColdService,
  EngineTerms,
  RoutedConfig,
  RoutedService,
  ServerChooser,
  ServerId,
  ServiceName,
} from '@flamingocourse/core';
import type { GatewayContext } from '../types/context.js';
import type { CrashCheck, QuarantineExchange, ServiceLaneOptions } from '@flamingocourse/router';
import type { DirectoryServer } from './serverDirectory.js';
import {
  AdmissionQueue,
  ExpectedTimeChooser,
  FleetShare,
  CheapestChooser,
  PrefixAffinityChooser,
  PromptPlacement,
  QuickEngineChooser,
  ServerPool,
  SwitchedChooser,
  createServerChooser,
} from '@flamingocourse/core';
import { Service, waitForPendingReads } from '@flamingocourse/kernel';
import { QuarantineRegister, ServiceLane } from '@flamingocourse/router';
import { ConfigurationWatch } from './configurationWatch.js';
import { EvacuationWatch } from './evacuationWatch.js';
import { InstanceDirectory } from './instanceDirectory.js';
import { ServerDirectory } from './serverDirectory.js';
import { ServerPaths } from './serverPaths.js';
import { EngineOrder } from '../runtime/engineOrder.js';
import { RetryAllowance } from '../runtime/retryAllowance.js';

/** Milliseconds between two checks of the queues for requests whose deadline has passed. */
const CHECK_INTERVAL_MS = 50;
/** Maximum number of requests that wait for one service at this instance. */
const MAX_WAITING = 256;
/**
 * Load, as a multiple of the mean, up to which requests with the same prompt part go to the same
 * server. Processing a prompt part again costs far more than a few more requests at one server.
 */
const AFFINITY_BOUND = 1.5;
/** Maximum requests that a plain server runs and queues, as a multiple of its slots. */
const PLAIN_QUEUE_FACTOR = 2;

/**
 * Milliseconds without data while a request waits after which an engine counts as unreachable. An
 * engine processes a prompt of 40,000 tokens in a second; meanwhile its other streams still send
 * data.
 */
const ENGINE_SILENT_MS = 1_300;
/** The same for a plain server, whose requests take tens of milliseconds. */
const PLAIN_SILENT_MS = 400;

/** A lane and the retry allowance of its service. */
export interface BackendLane {
  lane: ServiceLane;
  retries: RetryAllowance;
  /** Order of requests at engines while adaptive load is on. */
  engineOrder: EngineOrder;
}

/** Service that keeps the lanes. Registered as `lanes`. */
export class BackendLanes extends Service {
  override readonly name = 'lanes';
  override readonly dependsOn = ['configuration', 'directory', 'evacuations', 'instances', 'paths'];
  readonly #context: GatewayContext;
  readonly #register: QuarantineRegister;
  readonly #crashCheck: CrashCheck;
  readonly #lanes = new Map<ServiceName, BackendLane & { silentMs: number }>();
  /** Into how many parts the fleet's retries and the servers' rate limits are divided. */
  readonly #share: FleetShare;
  #timer: NodeJS.Timeout | undefined;
  #directory: ServerDirectory | undefined;
  #paths: ServerPaths | undefined;
  #configuration: ConfigurationWatch | undefined;

  constructor(context: GatewayContext, crashCheck: CrashCheck, quarantine: QuarantineExchange) {
    super();
    this.#context = context;
    this.#crashCheck = crashCheck;
    const { clock, log, settings } = context;
    this.#share = new FleetShare(settings.retries.windowMs);
    this.#register = new QuarantineRegister(clock, log, quarantine, { isShared: true });
  }

  /** Returns the lane of a service; undefined if no server of the service has been listed yet. */
  find(service: ServiceName): BackendLane | undefined {
    return this.#lanes.get(service);
  }

  /** The services, each with its servers. */
  get pools(): [ServiceName, ServerPool][] {
    return [...this.#lanes].map(([service, { lane }]) => [service, lane.pool]);
  }

  /** Whether any server could take a request, or none can by an operator's will. */
  get hasServers(): boolean {
    const { clock, rules } = this.#context;
    const now = clock.now();
    // no other instance would serve callers better, so they are refused here.
    if (rules.evacuations.all.length > 0 && this.#lanes.size > 0) return true;
    return [...this.#lanes.values()].some(({ lane }) => lane.pool.hasOpenServer(undefined, now));
  }

  /** How much is unreachable: all servers of some service, most of all servers, or little. */
  get unreachable(): 'service' | 'most' | 'little' {
    const now = this.#context.clock.now();
    const counts = [...this.#lanes.values()].map(({ lane }) => lane.pool.countReachable(now));
    if (counts.some(({ reachable, listed }) => listed > 0 && reachable === 0)) return 'service';
    const listed = counts.reduce((sum, count) => sum + count.listed, 0);
    const reachable = counts.reduce((sum, count) => sum + count.reachable, 0);
    return reachable * 2 < listed ? 'most' : 'little';
  }

  /** Applies changed retry limits from the settings. */
  applySettings(): void {
    this.#share.setWindow(this.#context.settings.retries.windowMs);
    for (const { retries } of this.#lanes.values()) {
      retries.setBounds(this.#context.settings.retries);
    }
  }

  override start(kernel: Kernel): void {
    this.#directory = kernel.get('directory', ServerDirectory);
    this.#configuration = kernel.get('configuration', ConfigurationWatch);
    this.#directory.onChange((servers) => {
      this.#apply(servers);
    });
    kernel.get('evacuations', EvacuationWatch).onChange((ended) => {
      this.#assumeCold(ended);
      for (const { lane } of this.#lanes.values()) lane.pump();
    });
    const instances = kernel.get('instances', InstanceDirectory);
    instances.onRead((read) => {
      this.#share.observe(read);
      this.#shareRateLimits(instances.isSettled);
    });
    this.#paths = kernel.get('paths', ServerPaths);
    this.#paths.onRestored(({ server: { id, service }, cause }) => {
      this.#restore(service, id, cause);
    });
    this.#configuration.onChange(({ config }) => {
      this.#context.rules.cold.setServices(coldServicesOf(config));
      this.#apply(this.#directory?.servers ?? []);
    });
    this.#timer = this.#context.background.every(CHECK_INTERVAL_MS, this.name, async () => {
      // data from a server may already have arrived but not been read before this iteration.
      await waitForPendingReads();
      this.#check();
    });
  }

  override stop(): void {
    clearInterval(this.#timer);
    for (const { lane } of this.#lanes.values()) lane.clear();
  }

  /**
   * Avoids servers that have become silent, and removes waiting requests whose deadline has passed.
   */
  #check(): void {
    for (const [service, { lane, silentMs }] of this.#lanes) {
      for (const server of lane.avoidSilent(silentMs)) {
        this.#context.log.write('server-silent', { service, server, silentMs });
      }
      for (const server of lane.pool.awaitingProbe) this.#paths?.requireProbe(server);
      lane.pump();
    }
  }

  /** While a fleet starts, a list without the others does not count. */
  #shareRateLimits(isListSettled: boolean): void {
    const { largestCount } = this.#share;
    if (!isListSettled || largestCount === undefined) return;
    this.#context.rules.notices.rateLimits.setSharers(largestCount, this.#context.clock.now());
  }

  /** Servers of a data centre that was evacuated may be cold, and their entries say so later. */
  #assumeCold(dataCentres: readonly string[]): void {
    const { clock, rules } = this.#context;
    const servers = this.#directory?.servers ?? [];
    for (const server of servers) {
      if (dataCentres.includes(server.dataCentre)) rules.cold.assume(server, clock.now());
    }
  }

  #restore(service: ServiceName, id: ServerId, cause: 'answered' | 'path-changed'): void {
    const lane = this.#lanes.get(service)?.lane;
    if (cause === 'answered') lane?.pool.recordProbeAnswer(id);
    else lane?.pool.recordPathChange(id, this.#context.clock.now());
    lane?.pump();
  }

  #apply(servers: DirectoryServer[]): void {
    const now = this.#context.clock.now();
    const listedIds = new Set(servers.map(({ id }) => id));
    this.#context.rules.notices.retain(listedIds, now);
    this.#context.rules.cold.retain(listedIds, now);
    const byService = new Map<ServiceName, DirectoryServer[]>();
    for (const server of servers) {
      byService.set(server.service, [...(byService.get(server.service) ?? []), server]);
    }
    for (const [service, listed] of byService) {
      const slots = Math.max(...listed.map((server) => server.slots));
      this.#getOrCreate(service, slots).lane.pool.applyList(listed, now);
    }
    for (const [service, { lane }] of this.#lanes) {
      if (!byService.has(service)) lane.pool.applyList([], now);
      lane.pump();
    }
  }

  #getOrCreate(service: ServiceName, slots: number): BackendLane {
    const known = this.#lanes.get(service);
    if (known) return known;
    const { clock, random, settings, rules } = this.#context;
    const sharesPrompts = this.#configuration?.table?.service(service)?.generates ?? false;
    const pool = new ServerPool({
      dataCentre: settings.dataCentre,
      concurrencyPerServer: sharesPrompts ? slots : slots * PLAIN_QUEUE_FACTOR,
      limitKind: 'fixed',
      timesAnswers: !sharesPrompts,
      restoredBy: 'probes',
      rules,
      software: this.#context.software,
    });
    const lane = new ServiceLane({
      pool,
      queue: new AdmissionQueue({ maxSize: MAX_WAITING }),
      ...(sharesPrompts ? this.#engineChoice(service, pool) : { chooser: this.#plainChooser() }),
      quarantine: this.#register,
      crashCheck: this.#crashCheck,
      clock,
      random,
      scope: sharesPrompts ? 'everywhere' : 'near-first',
      runsSuspectsAlone: false,
      background: this.#context.background,
    });
    const divisor = (at: number): number | undefined => this.#share.divisor(at);
    const retries = new RetryAllowance({ ...settings.retries, divisor });
    const silentMs = sharesPrompts ? ENGINE_SILENT_MS : PLAIN_SILENT_MS;
    const created = { lane, retries, engineOrder: new EngineOrder(), silentMs };
    this.#lanes.set(service, created);
    return created;
  }

  /** By expected time while servers report their speed. */
  #plainChooser(): ServerChooser {
    return new ExpectedTimeChooser(createServerChooser('power-of-two'), () => {
      return this.#share.largestCount ?? 1;
    });
  }

  /** Cached prompts are weighed against waits only where a deployment calls for it. */
  #engineChoice(
    service: ServiceName,
    pool: ServerPool,
  ): Pick<ServiceLaneOptions, 'chooser' | 'prompts'> {
    const { adaptiveLoad } = this.#context;
    const isOn = (): boolean => adaptiveLoad.isOn;
    const usual = new QuickEngineChooser(new PrefixAffinityChooser(AFFINITY_BOUND));
    const costs = new PromptPlacement(pool, () => {
      return engineTerms(this.#configuration?.table?.service(service));
    });
    const chooser = new CheapestChooser(costs, usual);
    return {
      chooser: new SwitchedChooser(isOn, chooser, usual),
      prompts: { costs, chooser, isOn },
    };
  }
}

/** What a service's engines have in common, from the configuration in force. */
function engineTerms(service: RoutedService | undefined): EngineTerms {
  const { copiesPrompts = false, memoryTokens, tokenBytes, linkBytesPerMs } = service ?? {};
  return { copiesPrompts, memoryTokens, tokenBytes, linkBytesPerMs };
}

function coldServicesOf({ services }: RoutedConfig): Map<ServiceName, ColdService> {
  return new Map(services.flatMap(({ name, cold }) => (cold ? [[name, cold] as const] : [])));
}
