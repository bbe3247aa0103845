/** Instances of one data centre that follow a store through each other, on a manual clock and without network. */

import type { TestContext } from 'node:test';
import type { FleetInstance, FollowAnswer, FollowRequest } from '@flamingocourse/core';
import type { ObjectList, WatchCall, WatchEndReason } from '@flamingocourse/store';
import { Agent } from 'node:http';
import { syncBuiltinESMExports } from 'node:module';
import { setImmediate as turn, setTimeout as delay } from 'node:timers/promises';
import { BodyBuffers, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { ObjectApiDialect, ObjectTable, PlatformError } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { z } from 'zod';
import { StoreRelay } from '../../../packages/gateway/src/node/storeRelay.js';
import type { FollowFault } from '../../../packages/gateway/src/types/followCalls.js';
import { FollowCalls } from '../../../packages/gateway/src/types/followCalls.js';
import { ObjectWatch } from '../../../packages/store/src/node/objectWatch.js';

/** Milliseconds within which a change has to take effect at an instance that reaches the store. */
export const APPLY_MS = 3_000;
const CONFIGURATION_IDLE_MS = 4_000;
const STORE_LATENCY_MS = 4;
const PEER_LATENCY_MS = 1;
const STEP_MS = 5;
/** The part of a long poll's time that is left for the way there and back. */
const ROUND_TRIP_MS = 400;

const collection = { name: 'notes', schema: z.object({ writtenAt: z.number() }) };

/** What is wrong with one process. */
export class FollowFaults {
  /** Its calls to the store get no answer. */
  isStoreCut = false;
  /** Nothing that it sends to peers arrives; what they send does. */
  isMute = false;
  /** It runs no more for now: nobody gets an answer of it, and no answer reaches it. */
  isPaused = false;
  /** More milliseconds for each answer that it gives to peers. */
  slowMs = 0;
  /** Milliseconds by which what the store tells it is old. */
  staleMs = 0;
}

/** One process of an instance. */
export interface FollowProcess {
  name: string;
  faults: FollowFaults;
  relay: StoreRelay;
  /** When each change became known, by the time at which it was written. */
  knownAt: Map<number, number>;
  /** Versions of all events, in order. */
  versions: number[];
  /** When it asked the store. */
  callsAt: number[];
  end: () => void;
  hasEnded: boolean;
}

/** Long polls on a table. */
class TableDialect extends ObjectApiDialect {
  constructor(
    readonly fleet: FollowFleet,
    readonly process: FollowProcess,
  ) {
    super();
  }

  override async follow(call: WatchCall): Promise<WatchEndReason> {
    this.process.callsAt.push(this.fleet.clock.now());
    const endsAt = this.fleet.clock.now() + call.idleMs;
    for (;;) {
      await delay(STORE_LATENCY_MS);
      const now = this.fleet.clock.now();
      if (call.signal.aborted) return 'stopped';
      if (now >= endsAt) return 'silent';
      if (this.process.faults.isStoreCut || this.process.faults.isPaused) continue;
      const seen = this.fleet.seenBy(this.process);
      const changes = this.fleet.table
        .changesSince(collection.name, call.version)
        .unwrapOr([])
        .filter(({ object }) => Number(object.version) <= seen);
      if (changes.length === 0 && now < endsAt - ROUND_TRIP_MS) continue;
      const version = String(Math.max(seen, Number(call.version)));
      call.onChanges(
        changes.map(({ object }) => ({ type: 'changed', object: this.fleet.parse(object) })),
        version,
      );
      return 'answered';
    }
  }
}

/** Calls between the processes. */
class FollowLink extends FollowCalls {
  constructor(
    readonly fleet: FollowFleet,
    readonly from: FollowProcess,
  ) {
    super();
  }

  override async follow(
    peer: FleetInstance,
    request: FollowRequest,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<FollowAnswer, FollowFault>> {
    const over = new AbortController();
    const answer = await Promise.race([
      this.#ask(peer, structuredClone(request)),
      delay(timeoutMs, undefined, { signal: over.signal }).then(
        () => silence('no answer in time'),
        () => silence('over'),
      ),
      new Promise<Result<FollowAnswer, FollowFault>>((resolve) => {
        signal.addEventListener('abort', () => {
          resolve(silence('aborted'));
        });
      }),
    ]);
    over.abort();
    return answer;
  }

  async #ask(
    { name }: FleetInstance,
    request: FollowRequest,
  ): Promise<Result<FollowAnswer, FollowFault>> {
    await delay(PEER_LATENCY_MS);
    const process = this.fleet.find(name);
    if (!process || process.hasEnded) return Result.err({ reason: 'refused', isRefusal: true });
    await this.#until(() => !process.faults.isPaused && !this.from.faults.isMute);
    const answer = await process.relay.answer(request);
    if (this.fleet.find(name) !== process) return silence('reset');
    await delay(PEER_LATENCY_MS + process.faults.slowMs);
    await this.#until(() => !process.faults.isPaused && !process.faults.isMute);
    return answer
      .map((value) => structuredClone(value))
      .mapErr((reason) => ({ reason, isRefusal: true }));
  }

  async #until(condition: () => boolean): Promise<void> {
    while (!condition()) await delay(STEP_MS);
  }
}

export class FollowFleet {
  readonly clock = new ManualClock(1_000_000);
  readonly log = new MemoryEventLog();
  readonly table = new ObjectTable();
  readonly #t: TestContext;
  readonly #processes = new Map<string, FollowProcess>();
  readonly #views = new Map<string, readonly FleetInstance[]>();
  #all: readonly FleetInstance[] = [];
  /** Version of the table at each time at which it changed. */
  readonly #versions: { at: number; version: number }[] = [];
  #written = 0;

  private constructor(t: TestContext) {
    this.#t = t;
  }

  static start(t: TestContext, size: number): FollowFleet {
    t.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
    syncBuiltinESMExports();
    const fleet = new FollowFleet(t);
    for (let n = 0; n < size; n += 1) fleet.startProcess(`edge-${String(n)}`);
    t.after(() => {
      for (const process of fleet.#processes.values()) process.end();
      t.mock.timers.reset();
      syncBuiltinESMExports();
    });
    return fleet;
  }

  get processes(): FollowProcess[] {
    return [...this.#processes.values()].filter(({ hasEnded }) => !hasEnded);
  }

  get names(): string[] {
    return [...this.#processes.keys()];
  }

  find(name: string): FollowProcess | undefined {
    return this.#processes.get(name);
  }

  /** The process that most others follow. */
  get watcher(): FollowProcess {
    const counts = new Map<string, number>();
    for (const { relay } of this.processes) {
      if (relay.watcher !== undefined) {
        counts.set(relay.watcher, (counts.get(relay.watcher) ?? 0) + 1);
      }
    }
    const [name = ''] = [...counts].sort((a, b) => b[1] - a[1])[0] ?? [];
    const process = this.find(name);
    if (!process) throw new RangeError('nobody is followed');
    return process;
  }

  /** Makes one instance know only these instances. */
  setView(name: string, known: readonly string[]): void {
    this.#views.set(name, known.map(toInstance));
  }

  /** Starts a process of an instance; a previous one ends, and its state is lost. */
  startProcess(name: string, faults = new FollowFaults()): FollowProcess {
    this.#processes.get(name)?.end();
    const process = {
      name,
      faults,
      callsAt: [],
      versions: [],
      hasEnded: false,
    } as unknown as FollowProcess;
    process.knownAt = new Map();
    process.relay = new StoreRelay({
      instance: name,
      configurationIdleMs: CONFIGURATION_IDLE_MS,
      clock: this.clock,
      log: this.log,
      calls: new FollowLink(this, process),
      instances: () => this.#instancesOf(name),
      onFailure: (err) => {
        throw err;
      },
    });
    const watch = this.#watch(process);
    process.end = () => {
      process.hasEnded = true;
      watch.stop();
      process.relay.beginStop();
    };
    this.#processes.set(name, process);
    return process;
  }

  /** Writes a change; the object's name is new each time, so that none hides another. */
  write(): number {
    const writtenAt = this.clock.now();
    this.#written += 1;
    this.table.create(collection.name, String(this.#written), JSON.stringify({ writtenAt }));
    this.#versions.push({ at: writtenAt, version: Number(this.table.version) });
    return writtenAt;
  }

  /** Advances the clock; calls `each` after every step. */
  async advance(ms: number, each: () => void = () => undefined): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.#t.mock.timers.tick(STEP_MS);
      await turn();
      each();
    }
  }

  /** Newest version that the store tells a process now. */
  seenBy({ faults }: FollowProcess): number {
    const until = this.clock.now() - faults.staleMs;
    return this.#versions.findLast(({ at }) => at <= until)?.version ?? 0;
  }

  parse({ name, version, json }: { name: string; version: string; json: string }): {
    name: string;
    version: string;
    value: unknown;
  } {
    return { name, version, value: JSON.parse(json) as unknown };
  }

  #instancesOf(name: string): readonly FleetInstance[] {
    const view = this.#views.get(name);
    if (view) return view;
    if (this.#all.length !== this.#processes.size) this.#all = this.names.map(toInstance);
    return this.#all;
  }

  #watch(process: FollowProcess): ObjectWatch<{ writtenAt: number }> {
    return new ObjectWatch(
      collection,
      {
        onEvent: (event) => {
          if (event.type === 'listed') {
            process.versions.push(Number(event.list.version));
            for (const { value } of event.list.items) this.#learn(process, value.writtenAt);
          }
          if (event.type !== 'changed') return;
          process.versions.push(Number(event.object.version));
          this.#learn(process, event.object.value.writtenAt);
        },
      },
      {
        list: () => this.#list(process),
        dialect: new TableDialect(this, process),
        url: 'http://store',
        agent: new Agent(),
        buffers: new BodyBuffers(),
        idleMs: CONFIGURATION_IDLE_MS - 300,
        relay: process.relay,
        random: () => 0.5,
        isUnreachable: () => false,
        onOpen: () => undefined,
        onAnswer: () => undefined,
        onBreak: () => undefined,
        onFailure: (err) => {
          throw err;
        },
      },
    );
  }

  #learn(process: FollowProcess, writtenAt: number): void {
    if (!process.knownAt.has(writtenAt)) process.knownAt.set(writtenAt, this.clock.now());
  }

  async #list(
    process: FollowProcess,
  ): Promise<Result<ObjectList<{ writtenAt: number }>, PlatformError>> {
    process.callsAt.push(this.clock.now());
    await delay(STORE_LATENCY_MS);
    if (process.faults.isStoreCut || process.faults.isPaused) {
      await delay(1_000);
      return Result.err(new PlatformError('unreachable', 'no answer'));
    }
    const seen = this.seenBy(process);
    const items = this.table
      .list(collection.name)
      .filter(({ version }) => Number(version) <= seen)
      .map((object) => ({ ...this.parse(object), value: JSON.parse(object.json) as never }));
    return Result.ok({ version: String(seen), items, invalid: [] });
  }
}

function toInstance(name: string): FleetInstance {
  return { name, dataCentre: 'hall-a', meshUrl: `http://${name}` };
}

function silence(reason: string): Result<FollowAnswer, FollowFault> {
  return Result.err({ reason, isRefusal: false });
}
