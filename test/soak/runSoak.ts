/** One seeded run: real processes, stand-ins for the store and the servers, and injected faults. */

import type { TestContext } from 'node:test';
import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { RequestedPauseWindow } from '../platform/fakeServer.js';
import type { FaultProfile, FaultTargets } from './soakFaults.js';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { findFreePorts } from '../../packages/lab/src/node/freePorts.js';
import { createRandom } from '../../packages/lab/src/runtime/random.js';
import { FakeServer } from '../platform/fakeServer.js';
import { FakeStore } from '../platform/fakeStore.js';
import type { SeenAnswer } from './soakCallers.js';
import { SoakCallers } from './soakCallers.js';
import { STOP_ACCOUNT, SoakConfiguration } from './soakConfiguration.js';
import type { CrashCauseKind } from './soakCrashes.js';
import { SoakCrashes } from './soakCrashes.js';
import { checkCutOff } from './soakCutOff.js';
import { SoakEvacuations, brokenEvacuations } from './soakEvacuations.js';
import { SoakFaults } from './soakFaults.js';
import {
  DATA_CENTRE_COUNT,
  PORTS_PER_INSTANCE,
  STOP_GRACE_MS,
  settingsOf,
  untilReady,
} from './soakFleet.js';
import { SoakLinks } from './soakLinks.js';
import { SoakProcess } from './soakProcess.js';
import { isSilenceSeed, runSilences } from './soakSilenceRun.js';
import { brokenPromises } from './soakPromises.js';
import { brokenRepeats } from './soakRepeats.js';
import { StopCallers } from './soakStopCallers.js';
import { checkStops } from './soakStops.js';
import { checkStreams } from './soakStreamChecks.js';
import { SoakStreams } from './soakStreams.js';
import type { EngineCount } from './soakVersions.js';
import { SoakVersions } from './soakVersions.js';

const INSTANCES = 3;
/** Instances in a run of every fifth seed: so many that most of them borrow tokens from others. */
const MANY_INSTANCES = 12;
const MANY_INSTANCES_EVERY = 5;
/** Every fourth seed has a request that crashes the engines that run it. */
const CRASHES_EVERY = 4;
/** Every eighth seed has a part of prompts that does so instead. */
const CRASHING_PARTS_EVERY = 8;
/** Of eleven seeds, the one with this remainder has instances with a small share of a processor. */
const SCARCE_EVERY = 11;
const SCARCE_REMAINDER = 7;
/** Of five seeds, those with these remainders have so many engines of several software versions. */
const ENGINES_BY_REMAINDER: Readonly<Record<number, EngineCount>> = { 2: 4, 3: 8 };
/** With so many engines, callers lose their connections too, so that many streams are taken up again. */
const MANY_ENGINES: EngineCount = 8;
const VERSIONS_EVERY = 5;
/** Milliseconds after the last fault until all instances must refuse that request. */
const CRASH_REFUSAL_MS = 3_000;
/** Of thirteen seeds, the one with this remainder evacuates a data centre now and then. */
const EVACUATIONS_EVERY = 13;
const EVACUATIONS_REMAINDER = 5;
/** Profile of the faults, by the remainder of the seed. */
const PROFILES: readonly FaultProfile[] = ['mixed', 'stops', 'cuts'];
/** Instances and data centres of a run with cuts, if it has not many. */
const INSTANCES_IN_CUTS = 6;
const CENTRES_IN_CUTS = 2;
/** How much longer faults are injected in a run with cuts, which last longer than other faults. */
const LONGER_IN_CUTS = 2;
const ACCOUNTS = ['kirk', 'spock'];
/** Milliseconds between two calls. */
const CALL_INTERVAL_MS = 25;
/** The same in a run with cuts, so that enough calls use the instances that are cut off. */
const CALL_INTERVAL_IN_CUTS_MS = 15;
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
  /** Calls to instances that were cut off from all servers, and those of them that were served. */
  cutOff: number;
  servedCutOff: number;
  /** Streams that callers took up again while two servers of their version served, and those that went on. */
  takenUp: number;
  wentOn: number;
  /** Requests to instances with a small share of a processor, and those held past their time limit. */
  scarce: { sent: number; due: number; held: number };
  /** Duplicate responses that servers sent. */
  copies: number;
  faults: string[];
  broken: string[];
  /** Output of the processes. */
  output: string;
}

/**
 * Runs one seed. Faults and calls use separate random generators, so the same seed injects the same
 * faults however long the calls take.
 *
 * @param bundle Router to start. @default the bundle of this checkout
 * @example
 * const { broken } = await runSoak(7, 8_000);
 */
export async function runSoak(
  seed: number,
  faultsMs: number,
  bundle?: string,
): Promise<SoakReport> {
  if (isSilenceSeed(seed)) return runSilences(seed, faultsMs, bundle);
  const run = await SoakRun.start(planOf(seed), bundle);
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
  dataCentres: number;
  crashCause: CrashCauseKind | undefined;
  /** Engines of several software versions; undefined in a run with one version. */
  versionedEngines: EngineCount | undefined;
  profile: FaultProfile;
  random: Random;
  callersRandom: Random;
  stopsRandom: Random;
  streamsRandom: Random;
  versionsRandom: Random;
  /** Undefined in a run without evacuations. */
  evacuationsRandom: Random | undefined;
}

function planOf(seed: number): RunPlan {
  const profile = profileOf(seed);
  const few = profile === 'cuts' ? INSTANCES_IN_CUTS : INSTANCES;
  const hasCrashes = seed % CRASHES_EVERY === 0 && profile !== 'cuts';
  const hasFewCentres = profile === 'cuts' && seed % MANY_INSTANCES_EVERY !== 0;
  return {
    instances: seed % MANY_INSTANCES_EVERY === 0 ? MANY_INSTANCES : few,
    dataCentres: hasFewCentres ? CENTRES_IN_CUTS : DATA_CENTRE_COUNT,
    crashCause: hasCrashes ? crashCauseOf(seed) : undefined,
    versionedEngines: hasCrashes ? undefined : ENGINES_BY_REMAINDER[seed % VERSIONS_EVERY],
    profile,
    random: createRandom(seed),
    callersRandom: createRandom(seed + 1),
    stopsRandom: createRandom(seed + 2),
    streamsRandom: createRandom(seed + 3),
    versionsRandom: createRandom(seed + 4),
    evacuationsRandom:
      seed % EVACUATIONS_EVERY === EVACUATIONS_REMAINDER ? createRandom(seed + 5) : undefined,
  };
}

function profileOf(seed: number): FaultProfile {
  if (seed % SCARCE_EVERY === SCARCE_REMAINDER) return 'scarce';
  return PROFILES[seed % PROFILES.length] ?? 'mixed';
}

function crashCauseOf(seed: number): CrashCauseKind {
  return seed % CRASHING_PARTS_EVERY === 0 ? 'part' : 'request';
}

/** Sound requests beside a bad part must not run out of tokens. */
function crashAccountOf(cause: CrashCauseKind): string {
  return cause === 'part' ? STOP_ACCOUNT : (ACCOUNTS[0] ?? '');
}

/** Parts of a run that faults are injected into or that are ended with it. */
interface RunParts extends Omit<FaultTargets, 'configuration'> {
  directory: string;
  crashes: SoakCrashes | undefined;
  /** Undefined in a run with one software version. */
  versions: SoakVersions | undefined;
  evacuations: SoakEvacuations | undefined;
  cleanUps: (() => unknown)[];
}

class SoakRun {
  readonly #random: Random;
  readonly #parts: RunParts;
  readonly #callers: SoakCallers;
  readonly #stopCallers: StopCallers;
  readonly #faults: SoakFaults;
  readonly #configuration: SoakConfiguration;
  readonly #streams: SoakStreams;
  #recoveryFailure = '';

  private constructor(plan: RunPlan, parts: RunParts) {
    const { random, callersRandom, stopsRandom, profile } = plan;
    const tokens = profile === 'cuts' ? 'ample' : 'scarce';
    const configuration = new SoakConfiguration(parts.store, ACCOUNTS, tokens);
    this.#random = random;
    this.#parts = parts;
    this.#callers = new SoakCallers(parts.instances, ACCOUNTS, callersRandom);
    this.#stopCallers = new StopCallers(stopsRandom);
    this.#configuration = configuration;
    const callersLeave = plan.versionedEngines === MANY_ENGINES;
    this.#streams = new SoakStreams(parts.instances, plan.streamsRandom, callersLeave);
    this.#faults = new SoakFaults(random, { ...parts, configuration }, profile, this.#stopCallers);
  }

  static async start(plan: RunPlan, bundle: string | undefined): Promise<SoakRun> {
    const { crashCause, versionedEngines, instances: count, callersRandom } = plan;
    const cleanUps: (() => unknown)[] = [];
    const scope = {
      after: (cleanUp: unknown) => {
        cleanUps.push(cleanUp as () => unknown);
      },
    };
    const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-soak-'));
    const store = await new FakeStore().listen(scope);
    const engines = await startEngines(plan, store, scope);
    const hasOwnEngines = crashCause !== undefined || versionedEngines !== undefined;
    const names = hasOwnEngines ? ['p1', 'p2'] : ['p1', 'p2', 'e1', 'e2'];
    const linked = await Promise.all(names.map((name) => new FakeServer(name).listen(scope)));
    const servers = [...linked, ...engines];
    const links = await SoakLinks.create(store, linked, count, scope);
    const ports = await findFreePorts(PORTS_PER_INSTANCE * count);
    const instances = links.instances.map(({ store: { url } }, at) => {
      const own = ports.slice(PORTS_PER_INSTANCE * at);
      const settings = settingsOf(own, url, at, plan.dataCentres);
      const instance = new SoakProcess(`edge-${String(at + 1)}`, directory, settings);
      if (bundle !== undefined) instance.bundle = bundle;
      return instance;
    });
    const crashes = crashCause
      ? new SoakCrashes(engines, instances, crashAccountOf(crashCause), callersRandom, crashCause)
      : undefined;
    const versions = versionedEngines
      ? new SoakVersions(store, engines, plan.versionsRandom)
      : undefined;
    const [, secondPlain] = linked;
    const evacuations =
      plan.evacuationsRandom && secondPlain
        ? new SoakEvacuations(store, secondPlain, plan.evacuationsRandom)
        : undefined;
    const own = { directory, store, servers, linked, links, instances };
    const parts = { ...own, crashes, versions, evacuations, cleanUps };
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
    const isCuts = this.#faults.profile === 'cuts';
    const calling = setInterval(
      () => {
        this.#callers.send();
      },
      isCuts ? CALL_INTERVAL_IN_CUTS_MS : CALL_INTERVAL_MS,
    );
    this.#parts.crashes?.start();
    if (this.#parts.versions) this.#streams.start();
    this.#parts.versions?.start();
    this.#parts.evacuations?.start();
    let plannedMs = 0;
    const activeFaults = new Set<Promise<void>>();
    const endAt = performance.now() + faultsMs * (isCuts ? LONGER_IN_CUTS : 1);
    while (performance.now() < endAt) {
      const intervalMs = this.#random.int(50, MAX_FAULT_INTERVAL_MS);
      plannedMs += intervalMs;
      await delay(intervalMs);
      const fault = this.#faults.inject(plannedMs).finally(() => activeFaults.delete(fault));
      activeFaults.add(fault);
    }
    await Promise.all(activeFaults);
    await this.#stopCallers.settle();
    await this.#parts.versions?.stop();
    await this.#parts.evacuations?.stop();
    await this.#streams.stop();
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
    const cutOff = checkCutOff({
      answers: usual,
      cuts: this.#faults.instanceCuts,
      instances: this.#parts.instances,
    });
    const streams = checkStreams({
      streams: this.#streams.streams,
      arrivals,
      serving: (software, from, until) => this.#parts.versions?.serving(software, from, until) ?? 0,
      isCalm: (instance, from, until) => this.#isCalm(instance, from, until),
    });
    return {
      calls: usual.length,
      answered: usual.filter(({ status }) => status === 200).length,
      metStop: stops.checked,
      cutOff: cutOff.attempts,
      servedCutOff: cutOff.served,
      takenUp: streams.takenUp,
      wentOn: streams.wentOn,
      scarce: this.#faults.scarcity.figures,
      copies: 0,
      faults: [...this.#faults.injected, ...(this.#parts.versions?.changes ?? [])],
      broken: [
        ...brokenPromises({
          answers,
          arrivals,
          arrivalsOf: new Map(this.#parts.servers.map(({ id, seen }) => [id, seen])),
          pauses: this.#undisturbedPauses(),
          limits: this.#configuration.limits,
        }),
        ...this.#brokenRepeats(answers),
        ...this.#faults.scarcity.broken,
        ...this.#brokenEvacuations(),
        ...stops.broken,
        ...cutOff.broken,
        ...streams.broken,
        ...this.#parts.instances.flatMap(({ unexpectedExits }) =>
          unexpectedExits.map((exit) => `unexpected exit: ${exit}`),
        ),
        ...(this.#parts.crashes?.broken ?? []),
        ...(this.#recoveryFailure === '' ? [] : [this.#recoveryFailure]),
      ],
      output: this.#parts.instances.map(({ output }) => output).join('\n'),
    };
  }

  #brokenEvacuations(): string[] {
    const { evacuations } = this.#parts;
    if (!evacuations) return [];
    const { server, windows } = evacuations;
    return brokenEvacuations(server.seen, windows, server.name, (instance, from, until) => {
      const hadStore = !this.#faults.storeFaults.some((fault) => {
        return fault.from < until && fault.until > from;
      });
      return hadStore && this.#isCalm(instance, from, until);
    });
  }

  #brokenRepeats(answers: readonly SeenAnswer[]): string[] {
    const plain = this.#parts.servers.filter(({ name }) => name.startsWith('p'));
    const sentAt = answers
      .filter(({ kind }) => kind === 'look' || kind === 'book')
      .map((answer) => answer.sentAt);
    return brokenRepeats(
      plain.flatMap(({ seen }) => seen),
      [...sentAt, ...this.#faults.scarcity.sentAt],
    );
  }

  /** Whether an instance was neither disturbed nor cut off from the store or servers during a time. */
  #isCalm(name: string, from: number, until: number): boolean {
    const instance = this.#parts.instances.find((each) => each.name === name);
    if (!instance) return false;
    const cuts = this.#faults.instanceCuts.filter(({ instances }) => instances.includes(name));
    const overlaps = (cut: { from: number; until: number }): boolean => {
      return cut.from < until && cut.until > from;
    };
    return (
      !instance.disturbedAt.some((at) => at > from && at < until) &&
      !instance.startedAt.some((at) => at > from && at < until) &&
      ![...instance.storeCuts, ...cuts].some(overlaps)
    );
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
    await this.#parts.links.close();
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

/** Starts the engines that are reached without links, if the run has any. */
async function startEngines(
  { crashCause, versionedEngines }: RunPlan,
  store: FakeStore,
  scope: Pick<TestContext, 'after'>,
): Promise<FakeServer[]> {
  if (crashCause) return SoakCrashes.startEngines(store, scope);
  if (versionedEngines === undefined) return [];
  return SoakVersions.startEngines(store, scope, versionedEngines);
}
