/** A run whose servers are paused as processes and send duplicate responses. */

import type { ServerArrival } from './soakResponseChecks.js';
import type { SoakReport } from './runSoak.js';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { findFreePorts } from '../../packages/lab/src/node/freePorts.js';
import { createRandom } from '../../packages/lab/src/runtime/random.js';
import { ASKED_BEHAVIOUR, ASKED_MS } from '../platform/fakeServer.js';
import { FakeStore } from '../platform/fakeStore.js';
import { SoakCallers } from './soakCallers.js';
import type { CallKind, CallShape } from './soakCallers.js';
import { SoakConfiguration } from './soakConfiguration.js';
import { PORTS_PER_INSTANCE, settingsOf, untilReady } from './soakFleet.js';
import { SoakProcess } from './soakProcess.js';
import { brokenPromises } from './soakPromises.js';
import { brokenResponses } from './soakResponseChecks.js';
import { SoakServer } from './soakServer.js';
import { OTHER_SUFFIX, SoakSilenceChanges } from './soakSilenceChanges.js';
import { SoakSilences } from './soakSilences.js';
import { checkStreams } from './soakStreamChecks.js';
import { SoakStreams } from './soakStreams.js';

/** Of seven seeds, the one with this remainder is such a run. */
const SILENCES_EVERY = 7;
const SILENCES_REMAINDER = 2;
/** Of two such seeds, one has engines of two software versions. */
const VERSIONS_EVERY = 2;
const INSTANCES = 4;
const DATA_CENTRES = 2;
/** Servers of each service; 6 in 10 engines are a whole number of them. */
const PLAIN_SERVERS = 2;
const ENGINES = 5;
/** How much longer faults are injected, as a silence with its configuration change takes 3 s. */
const LONGER = 3;
const CALL_INTERVAL_MS = 20;
const ACCOUNTS = ['kirk', 'spock'];
/** Milliseconds after the last silence until callers must be served again. */
const RECOVERY_MS = 6_000;
const RECOVERY_CALLS = 40;
/** Fraction of their plain calls that must succeed. */
const MIN_RECOVERED_FRACTION = 0.9;
/** Fraction of the calls with a large body, and its bytes. */
const LARGE_FRACTION = 0.25;
const LARGE_BYTES = { min: 20_000, max: 400_000 };
/** Fraction of the calls whose server takes time, and how much, in milliseconds. */
const SLOW_FRACTION = 0.5;
const SLOW_ANSWER_MS = { min: 10, max: 400 };
const SLOW_STREAM_MS = { min: 50, max: 700 };
/** Deadlines of the calls in milliseconds: hardly longer than a silence, and longer. */
const DEADLINES_MS = [1_500, 2_400];

/** Whether a seed selects a run with silences and duplicate responses. */
export function isSilenceSeed(seed: number): boolean {
  return seed % SILENCES_EVERY === SILENCES_REMAINDER;
}

interface RunParts {
  seed: number;
  directory: string;
  store: FakeStore;
  plain: SoakServer[];
  engines: SoakServer[];
  instances: SoakProcess[];
  cleanUps: (() => unknown)[];
}

/** Runs one seed; the router is started from the given bundle. */
export async function runSilences(
  seed: number,
  faultsMs: number,
  bundle: string | undefined,
): Promise<SoakReport> {
  const run = new SilenceRun(await startParts(seed, bundle));
  try {
    await run.play(faultsMs * LONGER);
    return run.report();
  } finally {
    await run.close();
  }
}

async function startParts(seed: number, bundle: string | undefined): Promise<RunParts> {
  const cleanUps: (() => unknown)[] = [];
  const scope = {
    after: (cleanUp: unknown) => {
      cleanUps.push(cleanUp as () => unknown);
    },
  };
  const directory = await mkdtemp(join(tmpdir(), 'flamingocourse-soak-'));
  const store = await new FakeStore().listen(scope);
  const hasVersions = Math.floor(seed / SILENCES_EVERY) % VERSIONS_EVERY === 1;
  const [plain, engines] = await Promise.all([
    startServers('p', PLAIN_SERVERS, seed, false),
    startServers('e', ENGINES, seed, hasVersions),
  ]);
  register(store, plain, 'ledger');
  register(store, engines, 'llm');
  const ports = await findFreePorts(PORTS_PER_INSTANCE * INSTANCES);
  const instances = Array.from({ length: INSTANCES }, (_, at) => {
    const own = ports.slice(PORTS_PER_INSTANCE * at);
    const settings = settingsOf(own, store.url, at, DATA_CENTRES);
    const instance = new SoakProcess(`edge-${String(at + 1)}`, directory, settings);
    if (bundle !== undefined) instance.bundle = bundle;
    return instance;
  });
  return { seed, directory, store, plain, engines, instances, cleanUps };
}

/** Starts the servers of two services of a kind. */
function startServers(
  prefix: 'p' | 'e',
  count: number,
  seed: number,
  hasVersions: boolean,
): Promise<SoakServer[]> {
  return Promise.all(
    Array.from({ length: 2 * count }, (_, at) => {
      const software = hasVersions && at % 2 === 1 ? 'v2' : 'v1';
      const ownSeed = seed * 100 + at + (prefix === 'e' ? 2 * count : 0);
      return SoakServer.start({ name: `${prefix}${String(at + 1)}`, software, seed: ownSeed });
    }),
  );
}

/** Registers one half of the servers at a service, the other at the service to which routes move. */
function register(store: FakeStore, servers: readonly SoakServer[], service: string): void {
  for (const [at, server] of servers.entries()) {
    const own = at < servers.length / 2 ? service : service + OTHER_SUFFIX;
    store.put('servers', server.name, server.entry(own));
  }
}

class SilenceRun {
  readonly #parts: RunParts;
  readonly #callers: SoakCallers;
  readonly #streams: SoakStreams;
  readonly #configuration: SoakConfiguration;
  readonly #silences: SoakSilences;
  #recoveryFailure: string[] = [];

  constructor(parts: RunParts) {
    const { seed, store, instances, engines, plain } = parts;
    this.#parts = parts;
    this.#callers = new SoakCallers(instances, ACCOUNTS, createRandom(seed + 1));
    this.#callers.shape = shapes(seed + 2);
    this.#streams = new SoakStreams(instances, createRandom(seed + 3), true);
    this.#configuration = new SoakConfiguration(store, ACCOUNTS, 'ample');
    const changes = new SoakSilenceChanges(this.#configuration, createRandom(seed + 4));
    const targets = { engines, plain, instances, changes };
    this.#silences = new SoakSilences(targets, createRandom(seed));
  }

  async play(faultsMs: number): Promise<void> {
    const { instances, plain, engines } = this.#parts;
    this.#configuration.write();
    await Promise.all(instances.map((instance) => instance.start()));
    await Promise.all(instances.map(untilReady));
    const calling = setInterval(() => {
      this.#callers.send();
    }, CALL_INTERVAL_MS);
    this.#streams.start();
    await this.#silences.play(faultsMs);
    for (const server of [...plain, ...engines]) server.stopFaults();
    await this.#streams.stop();
    await delay(RECOVERY_MS);
    clearInterval(calling);
    await this.#callers.settle();
    await this.#checkRecovery();
    await Promise.all([...plain, ...engines].map((server) => server.collect()));
  }

  report(): SoakReport {
    const { seed, instances, plain, engines } = this.#parts;
    const { answers } = this.#callers;
    const servers = [...plain, ...engines];
    const arrivals = servers.flatMap(({ name, seen }) =>
      seen.map((request): ServerArrival => ({ ...request, server: name })),
    );
    const streams = checkStreams({
      streams: this.#streams.streams,
      arrivals,
      // how many streams must go on while all engines are silent is not stated.
      serving: () => 0,
      isCalm: () => true,
    });
    const tries = this.#streams.streams.flatMap((stream) => stream.tries);
    const resumed = this.#streams.streams.flatMap((stream) => {
      const first = stream.tries.findIndex(({ events }) => events.length > 0);
      return first < 0 ? [] : stream.tries.slice(first + 1);
    });
    return {
      seed,
      calls: answers.length + tries.length,
      answered: [...answers, ...tries].filter(({ status }) => status === 200).length,
      metStop: 0,
      cutOff: 0,
      servedCutOff: 0,
      takenUp: resumed.length,
      wentOn: resumed.filter(({ events }) => events.length > 0).length,
      scarce: { sent: 0, due: 0, held: 0 },
      copies: servers.reduce((sum, { copies }) => sum + copies, 0),
      faults: this.#silences.injected,
      broken: [
        ...brokenPromises({
          answers,
          arrivals,
          arrivalsOf: new Map(servers.map(({ name, seen }) => [name, seen])),
          pauses: [],
          limits: this.#configuration.limits,
          namesRequests: true,
        }),
        ...brokenResponses(answers, arrivals),
        ...streams.broken,
        ...instances.flatMap(({ unexpectedExits }) =>
          unexpectedExits.map((exit) => `unexpected exit: ${exit}`),
        ),
        ...this.#recoveryFailure,
      ],
      output: [
        ...instances.map(({ output }) => output),
        ...answers.map((answer) =>
          JSON.stringify({ ...timed(answer), body: answer.body.slice(0, 300) }),
        ),
        ...tries.map((each) => JSON.stringify(timed(each))),
        ...arrivals.map((arrival) => JSON.stringify(timed({ ...arrival, sentAt: arrival.at }))),
      ].join('\n'),
    };
  }

  async close(): Promise<void> {
    const { instances, plain, engines, cleanUps, directory } = this.#parts;
    this.#callers.close();
    await Promise.all(instances.map((instance) => instance.end('SIGKILL')));
    for (const server of [...plain, ...engines]) server.end();
    for (const cleanUp of cleanUps) await cleanUp();
    await rm(directory, { recursive: true, force: true });
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
    this.#recoveryFailure = [
      `after the faults, ${String(served)} of ${String(plain.length)} plain calls were served`,
    ];
  }
}

/** Adds the time of day at which a request was sent or arrived, as in the lines of the processes. */
function timed<T extends { sentAt: number }>(seen: T): T & { time: string } {
  return { ...seen, time: new Date(performance.timeOrigin + seen.sentAt).toISOString() };
}

/** Chooses large bodies, slow answers and slow streams. */
function shapes(seed: number): (kind: CallKind) => CallShape {
  const random = createRandom(seed);
  return (kind) => {
    const isLarge = random.chance(LARGE_FRACTION);
    const bodyBytes = isLarge ? random.int(LARGE_BYTES.min, LARGE_BYTES.max) : 0;
    const deadline = { 'x-deadline-ms': String(random.pick(DEADLINES_MS)) };
    if (!random.chance(SLOW_FRACTION)) return { headers: deadline, bodyBytes };
    const isPlain = kind === 'look' || kind === 'book';
    const { min, max } = isPlain ? SLOW_ANSWER_MS : SLOW_STREAM_MS;
    const behaviour = isPlain ? 'slow-answer' : 'slow-stream';
    const asked = { [ASKED_BEHAVIOUR]: behaviour, [ASKED_MS]: String(random.int(min, max)) };
    return { headers: { ...deadline, ...asked }, bodyBytes };
  };
}
