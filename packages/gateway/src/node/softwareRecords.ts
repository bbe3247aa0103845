/** Records which software versions serve the services whose streams callers may take up again. */

import type { RouteTable, ServiceName } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { GatewayContext } from '../types/context.js';
import type { DirectoryServer } from './serverDirectory.js';
import { setTimeout as delay } from 'node:timers/promises';
import { rendezvousOrder } from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { ConfigurationWatch } from './configurationWatch.js';
import { InstanceDirectory } from './instanceDirectory.js';
import { ServerDirectory } from './serverDirectory.js';
import { StoredSoftwareRecord } from './storedSoftwareRecord.js';

/** Milliseconds between attempts while the store does not record a version. */
const RETRY_MS = 500;
/** Milliseconds for each instance of the fleet, over which all spread their calls for a new version. */
const SPREAD_MS = 1;
/** Milliseconds between two looks for versions to remove. */
const RETIRE_CHECK_MS = 1_000;
/** Maximum milliseconds for which a request waits for a record to be written or read. */
const MAX_WAIT_MS = 250;

/**
 * Service that keeps the records. Registered as `software`.
 *
 * The list alone does not tell a new process at which versions streams began before it started. Records
 * do, and they cost calls only at a start and when versions come and go.
 */
export class SoftwareRecords extends Service {
  override readonly name = 'software';
  override readonly dependsOn = ['configuration', 'directory', 'instances'];
  readonly #context: GatewayContext;
  readonly #records = new Map<ServiceName, StoredSoftwareRecord>();
  /** Services that the list has shown. */
  readonly #services = new Set<ServiceName>();
  /** Attempts under way. */
  readonly #attempts = new Map<ServiceName, Promise<boolean>>();
  readonly #running = new Set<ServiceName>();
  #configuration: ConfigurationWatch | undefined;
  #instances: InstanceDirectory | undefined;
  #directory: ServerDirectory | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isRetiring = false;
  #stopped = false;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
  }

  override start(kernel: Kernel): void {
    this.#configuration = kernel.get('configuration', ConfigurationWatch);
    this.#instances = kernel.get('instances', InstanceDirectory);
    this.#directory = kernel.get('directory', ServerDirectory);
    this.#configuration.onChange(() => {
      this.#recordAll();
    });
    this.#directory.onChange((servers) => {
      this.#applyList(servers);
    });
    this.#timer = this.#context.background.every(RETIRE_CHECK_MS, this.name, () => this.#retire());
  }

  override stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
  }

  /** Waits a short time for the versions of services that are being recorded. */
  async settled(services: readonly ServiceName[]): Promise<void> {
    const attempts = services.flatMap((service) => this.#attempts.get(service) ?? []);
    if (attempts.length === 0) return;
    const timeout = delay(MAX_WAIT_MS, undefined, { ref: false });
    await Promise.race([Promise.all(attempts), timeout]);
  }

  /**
   * Reads the record of a service anew, so that it shows all versions at which streams may have begun before
   * this call. Returns whether the store answered; does not wait for long.
   */
  async refresh(service: ServiceName): Promise<boolean> {
    const timeout = delay(MAX_WAIT_MS, false, { ref: false });
    return Promise.race([this.#recordOf(service).refresh(), timeout]);
  }

  #applyList(servers: readonly DirectoryServer[]): void {
    const { clock, software } = this.#context;
    const { recorded, seen } = software;
    const versions = new Map<ServiceName, Set<string>>();
    for (const service of this.#services) versions.set(service, new Set());
    for (const { service, softwareVersion = '' } of servers) {
      this.#services.add(service);
      versions.set(service, (versions.get(service) ?? new Set()).add(softwareVersion));
    }
    for (const [service, listed] of versions) {
      seen.list(service, listed, clock.now());
      recorded.list(service, listed);
      this.#records.get(service)?.updateMissed();
    }
    this.#recordAll();
  }

  #recordAll(): void {
    for (const service of resumableServices(this.#configuration?.table)) {
      const { recorded } = this.#context.software;
      if (this.#running.has(service) || recorded.unrecorded(service).length === 0) continue;
      this.#running.add(service);
      this.#context.background.run(this.name, () => this.#record(service));
    }
  }

  /** Tries until all listed versions of a service are recorded. */
  async #record(service: ServiceName): Promise<void> {
    try {
      while (!this.#stopped && this.#context.software.recorded.unrecorded(service).length > 0) {
        const attempt = this.#attempt(service);
        this.#attempts.set(service, attempt);
        const isDone = await attempt;
        if (!isDone) await this.#pause(service);
      }
    } finally {
      this.#attempts.delete(service);
      this.#running.delete(service);
    }
  }

  /** Requests do not wait for a version between two attempts. */
  async #pause(service: ServiceName): Promise<void> {
    this.#attempts.delete(service);
    await delay(RETRY_MS * (0.5 + this.#context.random()));
  }

  async #attempt(service: ServiceName): Promise<boolean> {
    const { log, random, software } = this.#context;
    await delay(random() * SPREAD_MS * (this.#instances?.count ?? 1));
    const saved = await this.#recordOf(service).save(software.recorded.unrecorded(service));
    if (saved.isErr) log.write('software-unrecorded', { service, reason: saved.error });
    return saved.isOk;
  }

  async #retire(): Promise<void> {
    if (this.#isRetiring) return;
    this.#isRetiring = true;
    try {
      for (const [service, record] of this.#records) {
        await record.retire(
          () => this.#turnFor(service),
          this.#directory?.confirmedAt ?? -Infinity,
        );
      }
    } finally {
      this.#isRetiring = false;
    }
  }

  /** Number of instances that remove versions of a service before this one. */
  #turnFor(service: ServiceName): number {
    const { instance } = this.#context.settings;
    const order = rendezvousOrder(service, this.#instances?.all ?? []);
    return Math.max(
      0,
      order.findIndex(({ name }) => name === instance),
    );
  }

  #recordOf(service: ServiceName): StoredSoftwareRecord {
    const known = this.#records.get(service);
    if (known) return known;
    const record = new StoredSoftwareRecord(this.#context, service);
    this.#records.set(service, record);
    return record;
  }
}

/** Services of routes whose streams may go on elsewhere. */
function resumableServices(table: RouteTable | undefined): Set<ServiceName> {
  const routes = table?.config.routes ?? [];
  const resumable = routes.filter(({ repetition }) => repetition === 'resumable-stream');
  return new Set(resumable.flatMap(({ targets }) => targets.map(({ service }) => service)));
}
