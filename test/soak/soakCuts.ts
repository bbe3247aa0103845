/** Faults that cut instances of one data centre off from servers, while all else reaches them. */

import type { CutMode } from '../../packages/lab/src/node/link/index.js';
import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { SoakLinks } from './soakLinks.js';
import type { SoakProcess } from './soakProcess.js';
import { setTimeout as delay } from 'node:timers/promises';

const MIN_CUT_MS = 4_000;
const MAX_CUT_MS = 8_000;
/** Maximum milliseconds between two cuts of a series. */
const MAX_GAP_MS = 1_000;
const CUTS_PER_SERIES = 3;

const MODES = ['silent', 'reset', 'refuse-new'] as const satisfies CutMode[];

/** How many of a group are meant. */
type Amount = 'one' | 'some' | 'most' | 'all';

const AMOUNTS: readonly Amount[] = ['one', 'some', 'most', 'all'];
const SERVER_AMOUNTS: readonly { amount: Amount; weight: number }[] = [
  { amount: 'some', weight: 1 },
  { amount: 'most', weight: 1 },
  { amount: 'all', weight: 3 },
];

/** A time in which instances of one data centre did not reach servers. */
export interface InstanceCut {
  instances: readonly string[];
  servers: readonly string[];
  /** Whether these are all servers. */
  isFromAll: boolean;
  mode: CutMode;
  /** Monotonic time at which the cut began. */
  from: number;
  /** Monotonic time at which the cut ended; `Infinity` while it lasts. */
  until: number;
}

interface CutPlan {
  cut: Pick<InstanceCut, 'instances' | 'servers' | 'isFromAll' | 'mode'>;
  forMs: number;
  /** Milliseconds until the next cut of a series. */
  gapMs: number;
}

export class SoakCuts {
  readonly cuts: InstanceCut[] = [];
  #running = Promise.resolve();
  /** Milliseconds of the plan until which instances are cut off. */
  #plannedUntilMs = 0;

  constructor(
    readonly random: Random,
    readonly links: SoakLinks,
    readonly instances: readonly SoakProcess[],
    readonly servers: readonly string[],
    /** Called with a phrase for each cut. */
    readonly onCut: (phrase: string) => void,
  ) {}

  /**
   * Cuts instances off once. Does nothing if others are cut off by the plan, so that some always reach
   * the servers; this depends on the times of the plan only and not on how fast the machine is.
   */
  cutOnce(plannedMs: number): Promise<void> {
    return this.#run([this.#plan()], plannedMs);
  }

  /** Cuts instances off several times, one after the other, each time others or in another way. */
  cutInSeries(plannedMs: number): Promise<void> {
    return this.#run(
      Array.from({ length: CUTS_PER_SERIES }, () => this.#plan()),
      plannedMs,
    );
  }

  #plan(): CutPlan {
    const { random } = this;
    const { dataCentre } = random.pick(this.instances).settings;
    const group = this.instances.filter(({ settings }) => settings.dataCentre === dataCentre);
    const instances = this.#take(group, random.pick(AMOUNTS)).map(({ name }) => name);
    const servers = this.#take(this.servers, random.pickWeighted(SERVER_AMOUNTS).amount);
    const isFromAll = servers.length === this.servers.length;
    return {
      cut: { instances, servers, isFromAll, mode: random.pick(MODES) },
      forMs: random.int(MIN_CUT_MS, MAX_CUT_MS),
      gapMs: random.int(0, MAX_GAP_MS),
    };
  }

  async #run(plans: readonly CutPlan[], plannedMs: number): Promise<void> {
    if (plannedMs < this.#plannedUntilMs) return;
    this.#plannedUntilMs = plannedMs;
    for (const { forMs, gapMs } of plans) this.#plannedUntilMs += forMs + gapMs;
    const before = this.#running;
    this.#running = before.then(() => this.#cutEach(plans));
    await this.#running;
  }

  async #cutEach(plans: readonly CutPlan[]): Promise<void> {
    for (const plan of plans) {
      await this.#cut(plan);
      await delay(plan.gapMs);
    }
  }

  async #cut({ forMs, cut: plan }: CutPlan): Promise<void> {
    const links = plan.instances.flatMap((name) => {
      const at = this.instances.findIndex((instance) => instance.name === name);
      return plan.servers.map((server) => this.links.toServer(at, server));
    });
    const who = plan.instances.join(', ');
    const what = plan.isFromAll ? 'all servers' : plan.servers.join(', ');
    this.onCut(`${who} cut off (${plan.mode}) from ${what} for ${String(forMs)} ms`);
    const cut: InstanceCut = { ...plan, from: performance.now(), until: Infinity };
    this.cuts.push(cut);
    for (const link of links) link.setCut(plan.mode);
    await delay(forMs);
    cut.until = performance.now();
    for (const link of links) link.setCut('none');
  }

  /** Random members of a group, in its order. */
  #take<T>(group: readonly T[], amount: Amount): T[] {
    const chosen = [...group];
    while (chosen.length > countOf(amount, group.length)) {
      chosen.splice(this.random.int(0, chosen.length - 1), 1);
    }
    return chosen;
  }
}

function countOf(amount: Amount, size: number): number {
  switch (amount) {
    case 'one':
      return 1;
    case 'some':
      return Math.max(1, Math.floor(size / 2));
    case 'most':
      return Math.max(1, size - 1);
    case 'all':
      return size;
  }
}
