/** One seeded run: real processes, stand-ins for the store and the servers, and injected faults. */

import type { Link } from '../../packages/lab/src/node/link/index.js';
import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { RequestedPauseWindow } from '../platform/fakeServer.js';
import type { FaultProfile, FaultTargets } from './soakFaults.js';
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
import { PORTS_PER_INSTANCE, STOP_GRACE_MS, settingsOf, untilReady } from './soakFleet.js';
import { SoakProcess } from './soakProcess.js';
import { brokenPromises } from './soakPromises.js';
import { StopCallers } from './soakStopCallers.js';
import { checkStops } from './soakStops.js';

const INSTANCES = 3;
/** Instances in a run of every fifth seed: so many that most of them borrow tokens from others. */
const MANY_INSTANCES = 12;
const MANY_INSTANCES_EVERY = 5;
/** Every fourth seed has a request that crashes the engines that run it. */
const CRASHES_EVERY = 4;
/** Milliseconds after the last fault until all instances must refuse that request. */
const CRASH_REFUSAL_MS = 3_000;
/** Profile of the faults, by the remainder of the seed. */
const PROFILES: readonly FaultProfile[] = ['mixed', 'stops', 'mixed'];
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
  /** Requests that reached a server and met a stop. */
  metStop: number;
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
  const run = await SoakRun.start(planOf(seed));
  try {
    await run.play(faultsMs);
    return { seed, ...run.report() };
  } finally {
    await run.close();
  }
}

/** What a run consists of, and its generators of random choices. */
interface RunPlan {
  instances: number;
  hasCrashes: boolean;
  profile: FaultProfile;
  random: Random;
  callersRandom: Random;
  stopsRandom: Random;
}

function planOf(seed: number): RunPlan {
  return {
    instances: seed % MANY_INSTANCES_EVERY === 0 ? MANY_INSTANCES : INSTANCES,
    hasCrashes: seed % CRASHES_EVERY === 0,
    profile: PROFILES[seed % PROFILES.length] ?? 'mixed',
    random: createRandom(seed),
    callersRandom: createRandom(seed + 1),
    stopsRandom: createRandom(seed + 2),
  };
}

/** Parts of a run that faults are injected into or that are ended with it. */
interface RunParts extends Omit<FaultTargets, 'configuration'> {
  directory: string;
  crashes: SoakCrashes | undefined;
  cleanUps: (() => unknown)[];
}

class SoakRun {
  readonly #random: Random;
  readonly #parts: RunParts;
  readonly #callers: SoakCallers;
  readonly #stopCallers: StopCallers;
  readonly #faults: SoakFaults;
  readonly #configuration: SoakConfiguration;
  #recoveryFailure = '';

  private constructor({ random, callersRandom, stopsRandom, profile }: RunPlan, parts: RunParts) {
    const configuration = new SoakConfiguration(parts.store, ACCOUNTS);
    this.#random = random;
    this.#parts = parts;
    this.#callers = new SoakCallers(parts.instances, ACCOUNTS, callersRandom);
    this.#stopCallers = new StopCallers(stopsRandom);
    this.#configuration = configuration;
    this.#faults = new SoakFaults(random, { ...parts, configuration }, profile, this.#stopCallers);
  }

  static async start(plan: RunPlan): Promise<SoakRun> {
    const { hasCrashes, instances: count, callersRandom } = plan;
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
    const crashes = hasCrashes
      ? new SoakCrashes(engines, instances, ACCOUNTS[0] ?? '', callersRandom)
      : undefined;
    const parts = { directory, store, servers, links, instances, crashes, cleanUps };
    const run = new SoakRun(plan, parts);
    run.#configuration.write();
    await run.#startInstances();
    return run;
  }

  async #startInstances(): Promise<void> {
    try {
      await Promise.all(this.#parts.instances.map((instance) => instance.start()));
      await Promise.all(this.#parts.instances.map(untilReady));
    } catch (err) {
      await this.close();
      throw err;
    }
  }

  /** Sends calls continuously, injects overlapping faults, then checks the recovery. */
  async play(faultsMs: number): Promise<void> {
    const calling = setInterval(() => {
      this.#callers.send();
    }, CALL_INTERVAL_MS);
    this.#parts.crashes?.start();
    const activeFaults = new Set<Promise<void>>();
    const endAt = performance.now() + faultsMs;
    while (performance.now() < endAt) {
      await delay(this.#random.int(50, MAX_FAULT_INTERVAL_MS));
      const fault = this.#faults.inject().finally(() => activeFaults.delete(fault));
      activeFaults.add(fault);
    }
    await Promise.all(activeFaults);
    await this.#stopCallers.settle();
    await delay(CRASH_REFUSAL_MS);
    this.#parts.crashes?.markFaultsEnded();
    await delay(RECOVERY_MS - CRASH_REFUSAL_MS);
    clearInterval(calling);
    this.#parts.crashes?.stop();
    await this.#callers.settle();
    await this.#checkRecovery();
  }

  report(): Omit<SoakReport, 'seed'> {
    const { answers: usual } = this.#callers;
    const answers = [...usual, ...this.#stopCallers.answers];
    const arrivals = this.#parts.servers.flatMap(({ id, seen }) =>
      seen.map((request) => ({ ...request, server: id })),
    );
    const stops = checkStops({
      answers,
      arrivals,
      instances: this.#parts.instances,
      cuts: this.#faults.cuts,
      graceMs: STOP_GRACE_MS,
    });
    return {
      calls: usual.length,
      answered: usual.filter(({ status }) => status === 200).length,
      metStop: stops.checked,
      faults: this.#faults.injected,
      broken: [
        ...brokenPromises({
          answers,
          arrivals,
          arrivalsOf: new Map(this.#parts.servers.map(({ id, seen }) => [id, seen])),
          pauses: this.#undisturbedPauses(),
          limits: this.#configuration.limits,
        }),
        ...stops.broken,
        ...this.#parts.instances.flatMap(({ unexpectedExits }) =>
          unexpectedExits.map((exit) => `unexpected exit: ${exit}`),
        ),
        ...(this.#parts.crashes?.broken ?? []),
        ...(this.#recoveryFailure === '' ? [] : [this.#recoveryFailure]),
      ],
      output: this.#parts.instances.map(({ output }) => output).join('\n'),
    };
  }

  #undisturbedPauses(): RequestedPauseWindow[] {
    return this.#parts.servers.flatMap(({ pauses }) => {
      return pauses.filter(({ instance, from, until }) => {
        const { disturbedAt = [] } =
          this.#parts.instances.find(({ name }) => name === instance) ?? {};
        return !disturbedAt.some((at) => at > from && at < until);
      });
    });
  }

  async close(): Promise<void> {
    this.#parts.crashes?.stop();
    this.#callers.close();
    await Promise.all(this.#parts.instances.map((instance) => instance.end('SIGKILL')));
    await Promise.all(
      [...this.#parts.links.store, ...this.#parts.links.servers].map((link) => link.close()),
    );
    for (const cleanUp of this.#parts.cleanUps) await cleanUp();
    await rm(this.#parts.directory, { recursive: true, force: true });
  }

  async #checkRecovery(): Promise<void> {
    const before = this.#callers.answers.length;
    for (let at = 0; at < RECOVERY_CALLS; at += 1) this.#callers.send();
    await this.#callers.settle();
    const plain = this.#callers.answers
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
