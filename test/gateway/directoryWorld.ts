/** A directory without network: the test says what the store tells and when, and moves the time. */

import type { TestContext } from 'node:test';
import type { ListedServer, ServerId, ServerWord } from '@flamingocourse/core';
import type { Collection, Subscription, WatchEvent, WatchOptions } from '@flamingocourse/store';
import { setImmediate as turn } from 'node:timers/promises';
import { HealthCheck } from '@flamingocourse/gateway';
import type { Clock } from '@flamingocourse/kernel';
import { Kernel, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { ServerDirectory } from '../../packages/gateway/src/node/serverDirectory.js';
import { contextOf } from './contextOf.js';

/** Milliseconds by which the time moves at once. */
const STEP_MS = 10;

/** A store whose one watch is told by the test. */
class ToldStore extends MemoryObjectStore {
  options: WatchOptions<ListedServer> | undefined;

  override watch<T>(_collection: Collection<T>, options: WatchOptions<T>): Subscription {
    this.options = options as unknown as WatchOptions<ListedServer>;
    return { stop: () => undefined };
  }
}

/** Servers that stay until the test says when they leave. */
class ToldServers extends HealthCheck {
  readonly leavesAt = new Map<ServerId, number>();
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override ask(id: ServerId): Promise<ServerWord> {
    const leaves = this.#clock.now() >= (this.leavesAt.get(id) ?? Infinity);
    return Promise.resolve(leaves ? 'leaving' : 'staying');
  }
}

export class DirectoryWorld {
  readonly clock = new ManualClock();
  readonly log = new MemoryEventLog();
  readonly #store = new ToldStore();
  readonly #servers = new ToldServers(this.clock);
  readonly #directory: ServerDirectory;
  readonly #t: TestContext;
  #version = 0;

  private constructor(t: TestContext) {
    this.#t = t;
    this.#directory = new ServerDirectory(
      contextOf(this.clock, this.log, this.#store),
      this.#servers,
    );
  }

  /** Starts a directory that knows these servers. */
  static start(t: TestContext, ids: readonly string[]): DirectoryWorld {
    t.mock.timers.enable({ apis: ['setInterval', 'setTimeout'] });
    const world = new DirectoryWorld(t);
    world.#directory.start(new Kernel());
    t.after(() => {
      world.#directory.stop();
    });
    world.list(ids);
    return world;
  }

  /** Servers that may get work now. */
  get used(): string[] {
    return this.#directory.servers.map(({ id }) => id);
  }

  get now(): number {
    return this.clock.now();
  }

  /** A server leaves; from then on it says so when it is asked. */
  leave(id: ServerId, at: number): void {
    this.#servers.leavesAt.set(id, at);
  }

  /** The store tells all entries. */
  list(ids: readonly string[]): void {
    const items = ids.map((name) => ({ name, version: '1', value: entry }));
    const version = this.#nextVersion();
    this.#tell({ type: 'listed', list: { version, items, invalid: [] } });
  }

  /** The store tells that an entry is gone. */
  remove(name: string): void {
    this.#tell({ type: 'removed', name, version: this.#nextVersion() });
  }

  /** The store says that nothing changed. */
  hear(): void {
    this.#store.options?.onHeard?.();
  }

  /** The watch breaks, because nothing came for too long. */
  lose(): void {
    this.#store.options?.onBreak?.('silent');
  }

  /** Moves the time up to `at`; `each` is called at every step. */
  async runTo(at: number, each: () => void = () => undefined): Promise<void> {
    while (this.now < at) {
      this.clock.advance(STEP_MS);
      this.#t.mock.timers.tick(STEP_MS);
      await turn();
      each();
    }
  }

  #tell(event: WatchEvent<ListedServer>): void {
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
