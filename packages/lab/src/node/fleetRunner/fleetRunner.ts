/** Starts a fleet of router processes on loopback, in which tests and measurements inject faults. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { FleetRunnerOptions, RouterCommand, RouterSlot } from '../../types/fleetRunner.js';
import type { ProcessEnd } from './routerProcess.js';
import { randomBytes } from 'node:crypto';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { entryOf, setEntry } from '@flamingocourse/core';
import { findFreePorts } from '../freePorts.js';
import { RouterProcess } from './routerProcess.js';

const HOST = '127.0.0.1';
const READY_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 20_000;
const SECRET_BYTES = 16;
const PORTS_PER_ROUTER = 2;
const ROUTER_SERVICE = 'flamingocourse-router';

const routerBinary = fileURLToPath(
  new URL('../../../../router/bin/flamingocourseRouter.mjs', import.meta.url),
);

const sourceAddressModule = new URL(
  '../../../dist/node/fleetRunner/sourceAddress.js',
  import.meta.url,
).href;

/**
 * A fleet of router processes, addressed by index.
 *
 * @example
 * const fleet = await FleetRunner.create({ slots, platformUrls, directory });
 * await fleet.start();
 * await fleet.kill(0);
 * await fleet.restart(0);
 * await fleet.stop();
 */
export class FleetRunner {
  readonly routers: RouterProcess[];
  /** Secret of this fleet; needed to decode request ids. */
  readonly fleetSecret: string;
  readonly #onInstances: (records: InstanceRecord[]) => void;

  private constructor(routers: RouterProcess[], secret: string, options: FleetRunnerOptions) {
    this.routers = routers;
    this.fleetSecret = secret;
    this.#onInstances = options.onInstances ?? (() => undefined);
  }

  /** Writes a settings file for each router, without starting any. */
  static async create(options: FleetRunnerOptions): Promise<FleetRunner> {
    const addresses = await chooseAddresses(options);
    const fleetSecret = randomBytes(SECRET_BYTES).toString('hex');
    const meshUrls = addresses.map(({ meshUrl }) => meshUrl);
    const routers: RouterProcess[] = [];
    for (const [index, address] of addresses.entries()) {
      const slot = options.slots[index];
      if (!slot) continue;
      const { entry, mesh, entryUrl, meshUrl } = address;
      const base = {
        ...slot,
        fleetSecret,
        entry: { host: HOST, port: entry, publicUrl: entryUrl },
        mesh: {
          host: HOST,
          port: mesh,
          publicUrl: meshUrl,
          seeds: meshUrls.filter((url) => url !== meshUrl),
        },
        platform: { url: entryOf(options.platformUrls, slot.dataCentre) },
      };
      const settings = mergeSections(base, options.settings?.(slot, index) ?? {});
      routers.push(await createRouter(options, slot, address, settings));
    }
    return new FleetRunner(routers, fleetSecret, options);
  }

  get entryUrls(): string[] {
    return this.routers.map((router) => router.entryUrl);
  }

  /** Starts all routers and waits until all are ready. */
  async start(): Promise<void> {
    for (const router of this.routers) router.start();
    this.#publishInstances();
    await Promise.all(this.routers.map((router) => router.ready()));
  }

  /** Kills a router (SIGKILL). */
  async kill(index: number): Promise<ProcessEnd> {
    const end = await this.#router(index).kill();
    this.#publishInstances();
    return end;
  }

  /** Stops a router gracefully (SIGTERM). */
  async terminate(index: number): Promise<ProcessEnd> {
    const end = await this.#router(index).terminate();
    this.#publishInstances();
    return end;
  }

  /** Starts a stopped router again on the same addresses and waits until it is ready. */
  async restart(index: number): Promise<void> {
    const router = this.#router(index);
    router.start();
    this.#publishInstances();
    await router.ready();
  }

  /** Suspends a router (SIGSTOP); the instance list still contains it. */
  freeze(index: number): void {
    this.#router(index).freeze();
  }

  /** Resumes a suspended router (SIGCONT). */
  thaw(index: number): void {
    this.#router(index).thaw();
  }

  /** Stops all routers gracefully. */
  async stop(): Promise<ProcessEnd[]> {
    const running = this.routers.filter((router) => router.state !== 'stopped');
    return Promise.all(running.map((router) => router.terminate()));
  }

  #router(index: number): RouterProcess {
    const router = this.routers[index];
    if (router) return router;
    throw new RangeError(`no router ${index}; there are ${this.routers.length}`);
  }

  #publishInstances(): void {
    const live = this.routers.filter((router) => router.state !== 'stopped');
    this.#onInstances(
      live.map(({ slot, meshUrl }) => ({
        service: ROUTER_SERVICE,
        id: `${slot.dataCentre}/${slot.instance}`,
        dataCentre: slot.dataCentre,
        url: meshUrl,
        state: 'live',
      })),
    );
  }
}

interface RouterAddress {
  /** Port that the router listens on for callers. */
  entry: number;
  /** Port that the router listens on for its peers. */
  mesh: number;
  /** URLs under which others reach the router; they lead through relays if there is a network. */
  entryUrl: string;
  meshUrl: string;
}

async function chooseAddresses({ slots, network }: FleetRunnerOptions): Promise<RouterAddress[]> {
  const ports = await findFreePorts(slots.length * PORTS_PER_ROUTER);
  const addresses: RouterAddress[] = [];
  for (const [index, { dataCentre }] of slots.entries()) {
    const entry = ports[PORTS_PER_ROUTER * index] ?? 0;
    const mesh = ports[PORTS_PER_ROUTER * index + 1] ?? 0;
    const entryUrl = (await network?.relay(urlOf(entry), dataCentre)) ?? urlOf(entry);
    const meshUrl = (await network?.relay(urlOf(mesh), dataCentre)) ?? urlOf(mesh);
    addresses.push({ entry, mesh, entryUrl, meshUrl });
  }
  return addresses;
}

async function createRouter(
  options: FleetRunnerOptions,
  slot: RouterSlot,
  { entry, meshUrl }: RouterAddress,
  settings: Record<string, unknown>,
): Promise<RouterProcess> {
  const name = join(options.directory, `${slot.dataCentre}-${slot.instance}`);
  await writeFile(`${name}.jsonc`, JSON.stringify(settings, null, 2));
  const source = options.network?.sourceAddress(slot.dataCentre);
  const command = options.command ?? ((file) => runRouterBinary(file, source));
  return new RouterProcess({
    slot,
    entryUrl: urlOf(entry),
    meshUrl,
    command: command(`${name}.jsonc`),
    logFile: `${name}.log`,
    readyTimeoutMs: options.readyTimeoutMs ?? READY_TIMEOUT_MS,
    stopTimeoutMs: options.stopTimeoutMs ?? STOP_TIMEOUT_MS,
  });
}

function runRouterBinary(settingsFile: string, source: string | undefined): RouterCommand {
  const options = source === undefined ? [] : [`--import=${sourceAddressModule}?address=${source}`];
  return { file: process.execPath, args: [...options, routerBinary, settingsFile] };
}

function urlOf(port: number): string {
  return `http://${HOST}:${port}`;
}

/** Merges `changes` into `base`, section by section; values of `changes` take precedence. */
function mergeSections(
  base: Record<string, unknown>,
  changes: Record<string, unknown>,
): Record<string, unknown> {
  const merged = { ...base };
  for (const [name, value] of Object.entries(changes)) {
    const old = entryOf(merged, name);
    setEntry(merged, name, isSection(old) && isSection(value) ? { ...old, ...value } : value);
  }
  return merged;
}

function isSection(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
