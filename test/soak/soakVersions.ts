/** Moves the engines of a run from one software version to another, and breaks their streams off. */

import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { TestContext } from 'node:test';
import type { FakeStore } from '../platform/fakeStore.js';
import { setTimeout as delay } from 'node:timers/promises';
import { FakeServer } from '../platform/fakeServer.js';

const SOFTWARE = ['v1', 'v2', 'v3'];
/** Milliseconds between two changes; they overlap. */
const INTERVAL_MS = { min: 150, max: 900 };
/** Milliseconds for which streams of an engine break off. */
const BREAK_MS = { min: 100, max: 600 };
/** Maximum milliseconds from the start of an engine until it has written its entry. */
const MAX_ENTRY_DELAY_MS = 400;
/** Maximum milliseconds for which the entry of an engine is missing. */
const MAX_GONE_MS = 1_500;

/** Number of engines: hardly enough for two of each version, or enough for most streams to go on. */
export type EngineCount = 4 | 8;

/** A time in which an engine served one version. */
interface ServedTime {
  engine: string;
  software: string;
  from: number;
  until: number;
}

/**
 * Changes of the engines of a run.
 *
 * @example
 * const versions = new SoakVersions(store, engines, createRandom(5));
 * versions.start();
 */
export class SoakVersions {
  /** One phrase for each change. */
  readonly changes: string[] = [];
  readonly #served: ServedTime[] = [];
  readonly #active = new Set<Promise<void>>();
  readonly #busy = new Set<FakeServer>();
  #isOver = false;

  constructor(
    readonly store: FakeStore,
    readonly engines: readonly FakeServer[],
    readonly random: Random,
  ) {
    for (const engine of engines) this.#open(engine);
  }

  /**
   * Starts engines that the store lists under their own addresses. Behind a link, an engine that has
   * ended would still accept connections, which no ended process does.
   */
  static async startEngines(
    store: FakeStore,
    scope: Pick<TestContext, 'after'>,
    count: EngineCount,
  ): Promise<FakeServer[]> {
    return Promise.all(
      Array.from({ length: count }, async (_, at) => {
        const name = `e${String(at + 1)}`;
        const engine = await new FakeServer(name).listen(scope);
        engine.software = at < count / 2 ? 'v1' : 'v2';
        engine.behaviour = 'stream';
        engine.bornAt = 1;
        store.put('servers', name, engine.entry('llm', { slots: 16 }));
        return engine;
      }),
    );
  }

  start(): void {
    void this.#run();
  }

  /** Makes no further changes, and waits for those that have begun. */
  async stop(): Promise<void> {
    this.#isOver = true;
    await Promise.all(this.#active);
  }

  /** Number of engines that served a version undisturbed during the whole time. */
  serving(software: string, from: number, until: number): number {
    const times = this.#served.filter((time) => {
      return time.software === software && time.from <= from && time.until >= until;
    });
    return new Set(times.map(({ engine }) => engine)).size;
  }

  async #run(): Promise<void> {
    while (!this.#isOver) {
      await delay(this.random.int(INTERVAL_MS.min, INTERVAL_MS.max));
      const change = this.#change().finally(() => this.#active.delete(change));
      this.#active.add(change);
    }
  }

  async #change(): Promise<void> {
    const engine = this.random.pick(this.engines);
    const kind = this.random.pick(['break', 'break', 'crash', 'roll', 'gone'] as const);
    const software = this.random.pick(SOFTWARE);
    const entryMs = this.random.int(0, MAX_ENTRY_DELAY_MS);
    const breakMs = this.random.int(BREAK_MS.min, BREAK_MS.max);
    const goneMs = this.random.int(0, MAX_GONE_MS);
    if (this.#isOver || this.#busy.has(engine)) return;
    this.#busy.add(engine);
    this.#close(engine);
    this.changes.push(`${kind} ${engine.id} ${kind === 'roll' ? software : engine.software}`);
    switch (kind) {
      case 'break':
        engine.behaviour = 'break-stream';
        await delay(breakMs);
        engine.behaviour = 'stream';
        break;
      case 'crash':
        await this.#restart(engine, engine.software, entryMs);
        break;
      case 'roll':
        await this.#restart(engine, software, entryMs);
        break;
      case 'gone':
        await this.#remove(engine, goneMs);
        break;
    }
    this.#open(engine);
    this.#busy.delete(engine);
  }

  /** Ends an engine and starts it under its id; until its entry is written, the list tells the old version. */
  async #restart(engine: FakeServer, software: string, entryMs: number): Promise<void> {
    await engine.restartAs(software);
    await delay(entryMs);
    this.store.put('servers', engine.id, engine.entry('llm', { slots: 16 }));
  }

  async #remove(engine: FakeServer, forMs: number): Promise<void> {
    const entry = this.store.value('servers', engine.id);
    this.store.remove('servers', engine.id);
    await delay(forMs);
    this.store.put('servers', engine.id, entry);
  }

  #open(engine: FakeServer): void {
    const { id, software } = engine;
    this.#served.push({ engine: id, software, from: performance.now(), until: Infinity });
  }

  #close(engine: FakeServer): void {
    const last = this.#served.findLast((time) => time.engine === engine.id);
    if (last) last.until = Math.min(last.until, performance.now());
  }
}
