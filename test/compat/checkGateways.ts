/**
 * Checks two builds of the pass-through entry in one fleet, on stored objects and settings written
 * by one of them.
 */

import type { FakeServer as Server } from '../platform/fakeServer.js';
import type { Build } from './builds.js';
import type { CompatReport } from './report.js';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { findFreePorts } from '../../packages/lab/src/node/freePorts.js';
import { createRandom } from '../../packages/lab/src/runtime/random.js';
import { CRASHING_BODY, USED_INSTANCE, FakeServer } from '../platform/fakeServer.js';
import { FakeStore } from '../platform/fakeStore.js';
import { configWith, until } from '../platform/world.js';
import { SoakCallers } from '../soak/soakCallers.js';
import { SoakCrashes } from '../soak/soakCrashes.js';
import {
  DATA_CENTRE_COUNT,
  PORTS_PER_INSTANCE,
  settingsOf,
  soakServices,
  untilReady,
} from '../soak/soakFleet.js';
import { SoakProcess } from '../soak/soakProcess.js';
import { brokenPromises } from '../soak/soakPromises.js';

/** Enough that most instances borrow from lenders. */
const INSTANCES = 12;
/** Accounts whose calls make up the load. */
const SPENDING = ['kirk', 'spock'];
/** Accounts that send the request that crashes servers. */
const CRASHING = ['uhura', 'sulu'];
/** Tokens of each account; the calls of a run need more in total. */
const LIMIT = 120_000;
const CALL_INTERVAL_MS = 20;
const SINGLE_BUILD_MS = 3_000;
const MIXED_BUILDS_MS = 8_000;
/** Milliseconds within which all instances must refuse such a request. */
const LEARNING_MS = 3_000;
const SEED = 41;

type Instance = SoakProcess & { build: Build };

/** Checks both builds of the entry; ends all processes before it returns or throws. */
export async function checkGateways(first: Build, second: Build): Promise<CompatReport> {
  const fleet = await GatewayFleet.create(first);
  try {
    await fleet.start();
    await fleet.load(SINGLE_BUILD_MS);
    await fleet.replaceEverySecond(second);
    await fleet.load(MIXED_BUILDS_MS);
    await fleet.crash(CRASHING[0] ?? '', first, second);
    await fleet.crash(CRASHING[1] ?? '', second, first);
    return fleet.report([first, second]);
  } finally {
    await fleet.close();
  }
}

class GatewayFleet {
  readonly #seen: string[] = [];
  readonly #broken: string[] = [];
  readonly #callers = new Map<Build, SoakCallers>();
  #callersMade = 0;
  readonly #allCallers: SoakCallers[] = [];

  private constructor(
    readonly directory: string,
    readonly store: FakeStore,
    readonly plain: Server[],
    readonly engines: Server[],
    readonly instances: Instance[],
    readonly cleanUps: (() => unknown)[],
  ) {}

  static async create(build: Build): Promise<GatewayFleet> {
    const cleanUps: (() => unknown)[] = [];
    const scope = {
      after: (cleanUp: unknown) => {
        cleanUps.push(cleanUp as () => unknown);
      },
    };
    const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-compat-'));
    const store = await new FakeStore().listen(scope);
    const plain = await Promise.all(['p1', 'p2'].map((name) => new FakeServer(name).listen(scope)));
    for (const server of plain) {
      store.put('servers', server.id, server.entry('ledger', { slots: 16, born: 1 }));
    }
    const engines = await SoakCrashes.startEngines(store, scope);
    store.put('config', 'main', configOf());
    const ports = await findFreePorts(PORTS_PER_INSTANCE * INSTANCES);
    const instances = Array.from({ length: INSTANCES }, (_, at) => {
      const settings = settingsOf(ports.slice(PORTS_PER_INSTANCE * at), store.url, at);
      return runWith(new SoakProcess(`edge-${String(at + 1)}`, directory, settings), build);
    });
    return new GatewayFleet(directory, store, plain, engines, instances, cleanUps);
  }

  async start(): Promise<void> {
    await Promise.all(this.instances.map(startUntilReady));
  }

  /** Sends calls to all instances and records the answers of each build separately. */
  async load(forMs: number): Promise<void> {
    const groups = [...new Set(this.instances.map(({ build }) => build))].map((build) => {
      const callers = this.#newCallers(this.#instancesOf(build));
      this.#callers.set(build, callers);
      return callers;
    });
    let turn = 0;
    const calling = setInterval(() => {
      turn += 1;
      groups[turn % groups.length]?.send();
    }, CALL_INTERVAL_MS);
    await delay(forMs);
    clearInterval(calling);
    await Promise.all(groups.map((callers) => callers.settle()));
  }

  /** Restarts every second instance of each data centre with the other build. */
  async replaceEverySecond(build: Build): Promise<void> {
    const replaced = this.instances.filter((_, at) => Math.floor(at / DATA_CENTRE_COUNT) % 2 === 1);
    for (const instance of replaced) {
      await instance.end('SIGTERM');
      await startUntilReady(runWith(instance, build));
    }
  }

  /** Sends a request that crashes servers through one build; the other build must refuse it. */
  async crash(account: string, through: Build, other: Build): Promise<void> {
    const senders = this.#instancesOf(through);
    const crashes = new SoakCrashes(this.engines, senders, account, createRandom(SEED), 'request');
    const knownBefore = new Map(
      this.instances.map((instance) => [instance, quarantines(instance).size]),
    );
    const hasLearned = (instance: Instance): boolean => {
      return quarantines(instance).size > (knownBefore.get(instance) ?? 0);
    };
    crashes.start();
    try {
      await until(`${through.label} refuses the request`, () => senders.every(hasLearned));
    } finally {
      crashes.stop();
    }
    await delay(LEARNING_MS);
    const arrivedBefore = this.#crashingArrivals;
    const others = this.#instancesOf(other);
    const repeats = new SoakCrashes(this.engines, others, account, createRandom(SEED), 'request');
    repeats.start();
    await delay(LEARNING_MS);
    repeats.stop();
    const arrived = this.#crashingArrivals - arrivedBefore;
    const learned = others.filter(hasLearned).length;
    const path = `a request that crashed servers, from ${through.label} to ${other.label}`;
    this.#seen.push(`${path}: ${String(learned)} of ${String(others.length)} instances refuse it`);
    if (learned < others.length) this.#broken.push(`${path}: not all refuse it`);
    if (arrived > 0) this.#broken.push(`${path}: ran ${String(arrived)} more times`);
  }

  report(builds: readonly Build[]): CompatReport {
    for (const build of builds) this.#reportServed(build);
    for (const build of builds) this.#reportLoans(build);
    const servers = [...this.plain, ...this.engines];
    this.#broken.push(
      ...brokenPromises({
        answers: this.#allCallers.flatMap(({ answers }) => answers),
        arrivals: servers.flatMap(({ seen }) => seen),
        arrivalsOf: new Map(servers.map(({ id, seen }) => [id, seen])),
        pauses: [],
        limits: new Map(SPENDING.map((account) => [account, LIMIT])),
      }),
      ...this.instances.flatMap(({ unexpectedExits }) =>
        unexpectedExits.map((exit) => `unexpected exit: ${exit}`),
      ),
    );
    return { title: 'entries', seen: this.#seen, broken: this.#broken };
  }

  async close(): Promise<void> {
    for (const callers of this.#allCallers) callers.close();
    await Promise.all(this.instances.map((instance) => instance.end('SIGKILL')));
    for (const cleanUp of this.cleanUps) await cleanUp();
    await rm(this.directory, { recursive: true, force: true });
  }

  #reportServed(build: Build): void {
    const answers = this.#callers.get(build)?.answers ?? [];
    const served = answers.filter(({ status }) => status === 200);
    const generated = served.filter(({ kind }) => kind === 'chat' || kind === 'draft');
    const counts = `${String(served.length)} of ${String(answers.length)} requests served`;
    this.#seen.push(
      `${build.label} build in the mixed fleet: ${counts}, ${String(generated.length)} paid`,
    );
    const instances = new Set(
      [...this.plain, ...this.engines].flatMap(({ seen }) => {
        return seen.map(({ headers }) => headers[USED_INSTANCE]);
      }),
    );
    const idle = this.#instancesOf(build).filter(({ name }) => !instances.has(name));
    for (const { name } of idle) this.#broken.push(`${name} (${build.label}) served no request`);
    if (generated.length === 0) this.#broken.push(`the ${build.label} build spent no tokens`);
  }

  /** Reports the loans that instances of one build took from instances of the other one. */
  #reportLoans(build: Build): void {
    const others = this.instances.filter((instance) => instance.build !== build);
    const names = new Set(others.map(({ name }) => name));
    const loans = this.#instancesOf(build).flatMap((instance) => {
      return parseLog(instance).filter(({ name, lender }) => {
        return name === 'prepaid-borrowed' && names.has(String(lender));
      });
    });
    this.#seen.push(
      `${build.label} build borrowed ${String(loans.length)} times from the other one`,
    );
    if (loans.length === 0) {
      this.#broken.push(`the ${build.label} build borrowed nothing from the other one`);
    }
  }

  get #crashingArrivals(): number {
    const seen = this.engines.flatMap((engine) => engine.seen);
    return seen.filter(({ body, ran }) => ran && body === CRASHING_BODY).length;
  }

  #instancesOf(build: Build): Instance[] {
    return this.instances.filter((instance) => instance.build === build);
  }

  #newCallers(instances: Instance[]): SoakCallers {
    this.#callersMade += 1;
    const random = createRandom(SEED + this.#callersMade);
    const callers = new SoakCallers(instances, SPENDING, random, `q${String(this.#callersMade)}`);
    this.#allCallers.push(callers);
    return callers;
  }
}

function runWith(instance: SoakProcess, build: Build): Instance {
  instance.bundle = build.bundle;
  instance.output = '';
  return Object.assign(instance, { build });
}

async function startUntilReady(instance: Instance): Promise<void> {
  await instance.start();
  await untilReady(instance);
}

interface LogLine {
  name?: unknown;
  lender?: unknown;
  fingerprint?: unknown;
}

function parseLog({ output }: SoakProcess): LogLine[] {
  return output.split('\n').flatMap((line) => {
    try {
      return [JSON.parse(line) as LogLine];
    } catch {
      // The stored end of the output may begin or end within a line.
      return [];
    }
  });
}

function quarantines(instance: SoakProcess): Set<unknown> {
  const found = parseLog(instance).filter(({ name }) => name === 'request-quarantined');
  return new Set(found.map(({ fingerprint }) => fingerprint));
}

function configOf(): Record<string, unknown> {
  const tenants = [
    ...SPENDING.map((name) => ({ name, api_keys: [`key-of-${name}`], prepaid: LIMIT })),
    ...CRASHING.map((name) => ({ name, api_keys: [`key-of-${name}`] })),
  ];
  return configWith({ version: 8, tenants, services: soakServices() });
}
