/** The news of a whole fleet, on a clock that only the test moves. */

import type { TestContext } from 'node:test';
import type { FleetInstance, FleetNews, NewsMessage } from '@flamingocourse/core';
import { syncBuiltinESMExports } from 'node:module';
import { setImmediate as turn, setTimeout as delay } from 'node:timers/promises';
import { Kernel, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { InstanceDirectory } from '../../../packages/gateway/src/node/instanceDirectory.js';
import { NewsService } from '../../../packages/gateway/src/node/newsService.js';
import { NewsCalls } from '../../../packages/gateway/src/types/newsCalls.js';
import { createRandom } from '../../../packages/lab/src/runtime/random.js';
import { contextOf } from '../contextOf.js';

/** Milliseconds for each way between two instances. */
const WAY_MS = 2;
/** Milliseconds after which a call without an answer is given up. */
const CALL_LIMIT_MS = 300;
const STEP_MS = 1;

/** Size of a fleet, and what is lost on the way. */
export interface NewsShape {
  dataCentres: number;
  instancesPerDataCentre: number;
  /** Part of the messages and answers that get lost. */
  lost: number;
  seed: number;
}

/** One process of an instance. */
interface Process {
  news: NewsService;
  heard: FleetNews[];
  kernel: Kernel;
}

/** The list of all instances, known from the start. */
class KnownInstances extends InstanceDirectory {
  readonly #known: readonly FleetInstance[];
  readonly #told: (() => void)[] = [];

  constructor(
    known: readonly FleetInstance[],
    context: ConstructorParameters<typeof InstanceDirectory>[0],
  ) {
    super(context);
    this.#known = known;
  }

  override get all(): readonly FleetInstance[] {
    return this.#known;
  }

  override onChange(listener: () => void): void {
    this.#told.push(listener);
    queueMicrotask(listener);
  }

  override start(): void {
    for (const listener of this.#told) listener();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }
}

/** One instance's way to the others. */
class NewsLink extends NewsCalls {
  readonly #fleet: NewsFleet;
  readonly #from: FleetInstance;

  constructor(fleet: NewsFleet, from: FleetInstance) {
    super();
    this.#fleet = fleet;
    this.#from = from;
  }

  override async exchange(
    to: FleetInstance,
    message: NewsMessage,
  ): Promise<Result<NewsMessage, string>> {
    this.#fleet.messages += 1;
    this.#fleet.largest = Math.max(this.#fleet.largest, JSON.stringify(message).length);
    await delay(WAY_MS);
    if (this.#fleet.loses(this.#from, to)) return this.#giveUp();
    const answer = this.#fleet.process(to.name).news.hear(structuredClone(message));
    if (this.#fleet.loses(to, this.#from)) return this.#giveUp();
    await delay(WAY_MS);
    return Result.ok(structuredClone(answer));
  }

  async #giveUp(): Promise<Result<NewsMessage, string>> {
    await delay(CALL_LIMIT_MS);
    return Result.err('no answer in time');
  }
}

export class NewsFleet {
  readonly clock = new ManualClock();
  readonly log = new MemoryEventLog();
  messages = 0;
  /** Characters of the largest message. */
  largest = 0;
  readonly #t: TestContext;
  readonly #shape: NewsShape;
  readonly #random;
  readonly #instances: FleetInstance[];
  readonly #processes = new Map<string, Process>();
  readonly #cut = new Set<string>();
  readonly #deaf = new Set<string>();

  private constructor(t: TestContext, shape: NewsShape) {
    this.#t = t;
    this.#shape = shape;
    this.#random = createRandom(shape.seed);
    const { dataCentres, instancesPerDataCentre } = shape;
    this.#instances = Array.from({ length: dataCentres * instancesPerDataCentre }, (_, i) => {
      const name = `edge-${String(i)}`;
      return { name, dataCentre: `hall-${String(i % dataCentres)}`, meshUrl: `http://${name}` };
    });
  }

  static async start(t: TestContext, shape: NewsShape): Promise<NewsFleet> {
    t.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
    syncBuiltinESMExports();
    const fleet = new NewsFleet(t, shape);
    for (const { name } of fleet.#instances) await fleet.startProcess(name);
    t.after(async () => {
      await Promise.all([...fleet.#processes.values()].map(({ kernel }) => kernel.stop()));
      t.mock.timers.reset();
      syncBuiltinESMExports();
    });
    return fleet;
  }

  /** Starts an instance's process; one that ran before is gone with all that it knew. */
  async startProcess(name: string): Promise<void> {
    await this.#processes.get(name)?.kernel.stop();
    const instance = this.#instances.find((each) => each.name === name);
    if (!instance) throw new RangeError(`no instance ${name}`);
    const base = contextOf(this.clock, this.log, new MemoryObjectStore());
    const settings = { ...base.settings, instance: name, dataCentre: instance.dataCentre };
    const context = { ...base, settings, random: () => this.#random.fraction() };
    const incarnation = `${name}/${String(this.clock.now())}`;
    const news = new NewsService(context, incarnation, new NewsLink(this, instance));
    const heard: FleetNews[] = [];
    news.onNews((item) => heard.push(item.news));
    const kernel = new Kernel()
      .register(new KnownInstances(this.#instances, context))
      .register(news);
    this.#processes.set(name, { news, heard, kernel });
    await kernel.start();
  }

  /** Lets time pass. */
  async pass(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.#t.mock.timers.tick(STEP_MS);
      await turn();
    }
  }

  process(name: string): Process {
    const found = this.#processes.get(name);
    if (!found) throw new RangeError(`no process of ${name}`);
    return found;
  }

  get names(): string[] {
    return this.#instances.map(({ name }) => name);
  }

  /** Instances other than the one that found it out which have heard of a server's end. */
  informed(server: string): number {
    return this.names.filter((name) => this.knows(name, server)).length;
  }

  knows(name: string, server: string): boolean {
    return this.process(name).heard.some(
      (news) => news.type === 'crashed' && news.server === server,
    );
  }

  /** Cuts a data centre off from the others, or heals the cut. */
  setCut(dataCentre: string, isCut: boolean): void {
    for (const { name, dataCentre: own } of this.#instances) {
      if (own !== dataCentre) continue;
      if (isCut) this.#cut.add(name);
      else this.#cut.delete(name);
    }
  }

  /** Makes an instance lose all that is sent to it; what it sends arrives. */
  setDeaf(name: string): void {
    this.#deaf.add(name);
  }

  loses(from: FleetInstance, to: FleetInstance): boolean {
    const isCut = this.#cut.has(from.name) !== this.#cut.has(to.name);
    return isCut || this.#deaf.has(to.name) || this.#random.chance(this.#shape.lost);
  }
}
