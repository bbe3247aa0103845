/** One seeded run: real processes, stand-ins for the store and the servers, and injected faults. */

import type { Link } from '../../packages/lab/src/node/link/index.js';
import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { RequestedPauseWindow } from '../platform/fakeServer.js';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { findFreePorts } from '../../packages/lab/src/node/freePorts.js';
import { createLink } from '../../packages/lab/src/node/link/index.js';
import { createRandom } from '../../packages/lab/src/runtime/random.js';
import { FakeServer } from '../platform/fakeServer.js';
import { FakeStore } from '../platform/fakeStore.js';
import { SoakCallers } from './soakCallers.js';
import { SoakConfiguration } from './soakConfiguration.js';
import { SoakCrashes } from './soakCrashes.js';
import { SoakFaults } from './soakFaults.js';
import { PORTS_PER_INSTANCE, settingsOf, untilReady } from './soakFleet.js';
import { SoakProcess } from './soakProcess.js';
import { brokenPromises } from './soakPromises.js';

const INSTANCES = 3;
/** Instances in a run of every fifth seed: so many that most of them borrow tokens from others. */
const MANY_INSTANCES = 12;
const MANY_INSTANCES_EVERY = 5;
/** Every fourth seed has a request that crashes the engines that run it. */
const CRASHES_EVERY = 4;
/** Milliseconds after the last fault until all instances must refuse that request. */
const CRASH_REFUSAL_MS = 3_000;
const ACCOUNTS = ['kirk', 'spock'];
/** Milliseconds between two calls. */
const CALL_INTERVAL_MS = 25;
/** Maximum milliseconds between two faults. */
const MAX_FAULT_INTERVAL_MS = 900;
/** Milliseconds after the last fault until callers must be served again. */
const RECOVERY_MS = 6_000;
/** Number of calls that check the recovery. */
const RECOVERY_CALLS = 40;
/** Fraction of their plain calls that must succeed; without a fault, a stand-in never fails. */
const MIN_RECOVERED_FRACTION = 0.9;

/** Result of one run. */
export interface SoakReport {
  seed: number;
  calls: number;
  answered: number;
  faults: string[];
  broken: string[];
  /** Output of the processes. */
  output: string;
}

/**
 * Runs one seed. Faults and calls use separate random generators, so the same seed injects the same
 * faults however long the calls take.
 *
 * @example
 * const { broken } = await runSoak(7, 8_000);
 */
export async function runSoak(seed: number, faultsMs: number): Promise<SoakReport> {
  const count = seed % MANY_INSTANCES_EVERY === 0 ? MANY_INSTANCES : INSTANCES;
  const hasCrashes = seed % CRASHES_EVERY === 0;
  const run = await SoakRun.start(count, hasCrashes, createRandom(seed), createRandom(seed + 1));
  try {
    await run.play(faultsMs);
    return { seed, ...run.report() };
  } finally {
    await run.close();
  }
}

class SoakRun {
  readonly #faults: SoakFaults;
  readonly #configuration: SoakConfiguration;
  #recoveryFailure = '';

  private constructor(
    readonly random: Random,
    readonly directory: string,
    readonly store: FakeStore,
    readonly servers: FakeServer[],
    readonly links: { store: Link[]; servers: Link[] },
    readonly instances: SoakProcess[],
    readonly callers: SoakCallers,
    readonly crashes: SoakCrashes | undefined,
    readonly cleanUps: (() => unknown)[],
  ) {
    const configuration = new SoakConfiguration(store, ACCOUNTS);
    this.#configuration = configuration;
    this.#faults = new SoakFaults(random, { store, configuration, servers, links, instances });
  }

  static async start(
    count: number,
    hasCrashes: boolean,
    random: Random,
    callersRandom: Random,
  ): Promise<SoakRun> {
    const cleanUps: (() => unknown)[] = [];
    const scope = {
      after: (cleanUp: unknown) => {
        cleanUps.push(cleanUp as () => unknown);
      },
    };
    const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-soak-'));
    const store = await new FakeStore().listen(scope);
    const engines = hasCrashes ? await SoakCrashes.startEngines(store, scope) : [];
    const names = hasCrashes ? ['p1', 'p2'] : ['p1', 'p2', 'e1', 'e2'];
    const linked = await Promise.all(names.map((name) => new FakeServer(name).listen(scope)));
    const servers = [...linked, ...engines];
    const links = {
      servers: await Promise.all(linked.map((server) => registerServer(server, store))),
      store: await linksTo(store.url, count),
    };
    const ports = await findFreePorts(PORTS_PER_INSTANCE * count);
    const instances = links.store.map(({ url }, at) => {
      const settings = settingsOf(ports.slice(PORTS_PER_INSTANCE * at), url, at);
      return new SoakProcess(`edge-${String(at + 1)}`, directory, settings);
    });
    const callers = new SoakCallers(instances, ACCOUNTS, callersRandom);
    const crashes = hasCrashes
      ? new SoakCrashes(engines, instances, ACCOUNTS[0] ?? '', callersRandom)
      : undefined;
    const parts = [random, directory, store, servers, links, instances, callers] as const;
    const run = new SoakRun(...parts, crashes, cleanUps);
    run.#configuration.write();
    await run.#startInstances();
    return run;
  }

  async #startInstances(): Promise<void> {
    try {
      await Promise.all(this.instances.map((instance) => instance.start()));
      await Promise.all(this.instances.map(untilReady));
    } catch (err) {
      await this.close();
      throw err;
    }
  }

  /** Sends calls continuously, injects overlapping faults, then checks the recovery. */
  async play(faultsMs: number): Promise<void> {
    const calling = setInterval(() => {
      this.callers.send();
    }, CALL_INTERVAL_MS);
    this.crashes?.start();
    const activeFaults = new Set<Promise<void>>();
    const endAt = performance.now() + faultsMs;
    while (performance.now() < endAt) {
      await delay(this.random.int(50, MAX_FAULT_INTERVAL_MS));
      const fault = this.#faults.inject().finally(() => activeFaults.delete(fault));
      activeFaults.add(fault);
    }
    await Promise.all(activeFaults);
    await delay(CRASH_REFUSAL_MS);
    this.crashes?.markFaultsEnded();
    await delay(RECOVERY_MS - CRASH_REFUSAL_MS);
    clearInterval(calling);
    this.crashes?.stop();
    await this.callers.settle();
    await this.#checkRecovery();
  }

  report(): Omit<SoakReport, 'seed'> {
    const { answers } = this.callers;
    const arrivals = this.servers.flatMap(({ seen }) => seen);
    return {
      calls: answers.length,
      answered: answers.filter(({ status }) => status === 200).length,
      faults: this.#faults.injected,
      broken: [
        ...brokenPromises({
          answers,
          arrivals,
          arrivalsOf: new Map(this.servers.map(({ id, seen }) => [id, seen])),
          pauses: this.#undisturbedPauses(),
          limits: this.#configuration.limits,
        }),
        ...this.instances.flatMap(({ unexpectedExits }) =>
          unexpectedExits.map((exit) => `unexpected exit: ${exit}`),
        ),
        ...(this.crashes?.broken ?? []),
        ...(this.#recoveryFailure === '' ? [] : [this.#recoveryFailure]),
      ],
      output: this.instances.map(({ output }) => output).join('\n'),
    };
  }

  #undisturbedPauses(): RequestedPauseWindow[] {
    return this.servers.flatMap(({ pauses }) => {
      return pauses.filter(({ instance, from, until }) => {
        const { disturbedAt = [] } = this.instances.find(({ name }) => name === instance) ?? {};
        return !disturbedAt.some((at) => at > from && at < until);
      });
    });
  }

  async close(): Promise<void> {
    this.crashes?.stop();
    this.callers.close();
    await Promise.all(this.instances.map((instance) => instance.end('SIGKILL')));
    await Promise.all([...this.links.store, ...this.links.servers].map((link) => link.close()));
    for (const cleanUp of this.cleanUps) await cleanUp();
    await rm(this.directory, { recursive: true, force: true });
  }

  async #checkRecovery(): Promise<void> {
    const before = this.callers.answers.length;
    for (let at = 0; at < RECOVERY_CALLS; at += 1) this.callers.send();
    await this.callers.settle();
    const plain = this.callers.answers
      .slice(before)
      .filter(({ kind }) => kind === 'look' || kind === 'book');
    const served = plain.filter(({ status }) => status === 200).length;
    if (served >= MIN_RECOVERED_FRACTION * plain.length) return;
    this.#recoveryFailure = `after the faults, ${String(served)} of ${String(plain.length)} plain calls were served`;
  }
}

/** Registers a server in the store under the address of a link to it. */
async function registerServer(server: FakeServer, store: FakeStore): Promise<Link> {
  const [link] = await linksTo(`http://${server.address}`, 1);
  if (!link) throw new RangeError('no link was created');
  const isEngine = server.id.startsWith('e');
  server.behaviour = isEngine ? 'stream' : 'answer';
  const address = `127.0.0.1:${String(link.port)}`;
  const entry = server.entry(isEngine ? 'llm' : 'ledger', { address, slots: 16, born: 1 });
  store.put('servers', server.id, entry);
  return link;
}

function linksTo(url: string, count: number): Promise<Link[]> {
  const { hostname: host, port } = new URL(url);
  const target = { host, port: Number(port) };
  return Promise.all(Array.from({ length: count }, () => createLink({ target })));
}
