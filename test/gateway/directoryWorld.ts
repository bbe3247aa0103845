/** Server directory without network: the test emits the store's events and controls the clock. */

import type { TestContext } from 'node:test';
import type { ListedServer, ServerId, ProbeResult } from '@flamingocourse/core';
import type { Collection, Subscription, WatchEvent, WatchOptions } from '@flamingocourse/store';
import { setImmediate as turn } from 'node:timers/promises';
import { HealthCheck } from '@flamingocourse/gateway';
import type { Clock } from '@flamingocourse/kernel';
import { Kernel, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { ServerDirectory } from '../../packages/gateway/src/node/serverDirectory.js';
import { testContext } from './testContext.js';

/** Milliseconds by which the clock advances per step. */
const STEP_MS = 10;

/** Store whose single watch gets its events from the test. */
class ScriptedStore extends MemoryObjectStore {
  options: WatchOptions<ListedServer> | undefined;

  override watch<T>(_collection: Collection<T>, options: WatchOptions<T>): Subscription {
    this.options = options as unknown as WatchOptions<ListedServer>;
    return { stop: () => undefined };
  }
}

/** Health check of servers that are live until the time at which they leave. */
class ScriptedHealthCheck extends HealthCheck {
  readonly leavesAt = new Map<ServerId, number>();
  /** What each health check throws. */
  fault: Error | undefined;
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override probe(id: ServerId): Promise<ProbeResult> {
    if (this.fault) return Promise.reject(this.fault);
    const leaves = this.#clock.now() >= (this.leavesAt.get(id) ?? Infinity);
    return Promise.resolve(leaves ? 'leaving' : 'staying');
  }
}

/** A server directory with a scripted store, scripted servers and a manual clock. */
export class DirectoryWorld {
  readonly clock = new ManualClock();
  readonly log = new MemoryEventLog();
  readonly #store = new ScriptedStore();
  readonly #healthCheck = new ScriptedHealthCheck(this.clock);
  readonly #directory: ServerDirectory;
  readonly #t: TestContext;
  /** What was thrown in the process and reported. */
  readonly failures: unknown[] = [];
  #version = 0;

  private constructor(t: TestContext) {
    this.#t = t;
    this.#directory = new ServerDirectory(
      testContext(this.clock, this.log, this.#store),
      this.#healthCheck,
    );
  }

  /** Starts a directory that knows these servers. */
  static start(t: TestContext, ids: readonly string[]): DirectoryWorld {
    t.mock.timers.enable({ apis: ['setInterval', 'setTimeout'] });
    const world = new DirectoryWorld(t);
    const kernel = new Kernel();
    kernel.onFailure((err) => world.failures.push(err));
    world.#directory.start(kernel);
    t.after(() => {
      world.#directory.stop();
    });
    world.list(ids);
    return world;
  }

  /** Ids of the servers that may get requests now. */
  get used(): string[] {
    return this.#directory.servers.map(({ id }) => id);
  }

  /** Calls `listener` with the ids of all servers after each change. */
  onChange(listener: (ids: string[]) => void): void {
    this.#directory.onChange((servers) => {
      listener(servers.map(({ id }) => id));
    });
  }

  get now(): number {
    return this.clock.now();
  }

  /** Makes a server leave at a time; from then on its health check reports it. */
  leave(id: ServerId, at: number): void {
    this.#healthCheck.leavesAt.set(id, at);
  }

  /** Makes each health check throw. */
  breakChecks(fault: Error): void {
    this.#healthCheck.fault = fault;
  }

  /** Makes the store report the full list. */
  list(ids: readonly string[]): void {
    const items = ids.map((name) => ({ name, version: '1', value: entry }));
    const version = this.#nextVersion();
    this.#emit({ type: 'listed', list: { version, items, invalid: [] } });
  }

  /** Makes the store report that an entry was removed. */
  remove(name: string): void {
    this.#emit({ type: 'removed', name, version: this.#nextVersion() });
  }

  /** Makes the store confirm that nothing changed. */
  hear(): void {
    this.#store.options?.onUpToDate?.(0);
  }

  /** Breaks the watch, as after too long a silence. */
  lose(): void {
    this.#store.options?.onBreak?.('silent');
  }

  /** Advances the clock to `at`; calls `each` after every step. */
  async runTo(at: number, each: () => void = () => undefined): Promise<void> {
    while (this.now < at) {
      this.clock.advance(STEP_MS);
      this.#t.mock.timers.tick(STEP_MS);
      await turn();
      each();
    }
  }

  #emit(event: WatchEvent<ListedServer>): void {
    this.#store.options?.onEvent(event);
    this.hear();
  }

  #nextVersion(): string {
    this.#version += 1;
    return String(this.#version);
  }
}

const entry: ListedServer = {
  service: 'ledger',
  dataCentre: 'hall-a',
  url: 'http://127.0.0.1:4',
  state: 'live',
  slots: 6,
};
