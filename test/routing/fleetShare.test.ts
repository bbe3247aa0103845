import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FleetShare, readIntervalMs, rendezvousOwner } from '@flamingocourse/core';
import { createRandom } from '../../packages/lab/src/runtime/random.js';

const WINDOW_MS = 10_000;
/** Milliseconds after a list was read first from which it counts, in a small fleet. */
const KNOWN_MS = 32_000;

interface Step {
  at: number;
  count: number;
  listsReader?: boolean;
}

/** Reads of the list every four seconds. */
function reads(from: number, until: number, count: number): Step[] {
  return Array.from({ length: (until - from) / 4_000 }, (_, n) => ({
    at: from + n * 4_000,
    count,
  }));
}

describe('the parts of a right of the fleet', () => {
  const cases: { name: string; steps: Step[]; now: number; divisor: number | undefined }[] = [
    { name: 'are unknown without a list', steps: [], now: 60_000, divisor: undefined },
    {
      name: 'are unknown until the others have read of this instance',
      steps: reads(0, KNOWN_MS, 7),
      now: KNOWN_MS - 1,
      divisor: undefined,
    },
    {
      name: 'are as many as the instances in the list',
      steps: reads(0, KNOWN_MS, 7),
      now: KNOWN_MS,
      divisor: 7,
    },
    {
      name: 'stay as many while those that were lost may still use theirs',
      steps: [...reads(0, KNOWN_MS, 7), ...reads(KNOWN_MS, 60_000, 2)],
      now: 60_000,
      divisor: 7,
    },
    {
      name: 'are fewer afterwards',
      steps: [...reads(0, KNOWN_MS, 7), ...reads(KNOWN_MS, 80_000, 2)],
      now: 80_000,
      divisor: 2,
    },
    {
      name: 'are unknown once the list is too old',
      steps: reads(0, 40_000, 7),
      now: 44_001,
      divisor: undefined,
    },
    {
      name: 'are unknown for as long as at first after a gap',
      steps: [...reads(0, 40_000, 7), ...reads(60_000, 92_000, 7)],
      now: 91_999,
      divisor: undefined,
    },
    {
      name: 'are unknown to an instance that was removed from the list',
      steps: [...reads(0, 40_000, 7), { at: 40_000, count: 6, listsReader: false }],
      now: 40_001,
      divisor: undefined,
    },
  ];
  for (const { name, steps, now, divisor } of cases) {
    test(name, () => {
      const share = new FleetShare(WINDOW_MS);
      for (const { at, count, listsReader = true } of steps) {
        const names = Array.from({ length: count }, (_, n) => `edge-${String(n + 1)}`);
        share.observe({ at, names, reader: listsReader ? 'edge-1' : 'edge-0' });
      }
      assert.equal(share.divisor(now), divisor);
    });
  }
});

/** Milliseconds between two steps of the simulation, and between two events of a small fleet. */
const STEP_MS = 1_000;
const EVENT_INTERVAL_MS = 25_000;
/** A right that is not divided. */
const KEY = 'p1';
/** Longest time by which a read is stale. */
const MAX_STALE_MS = 3_000;

/** One process: it has its own knowledge, and nothing of the process before it. */
class Process {
  readonly share = new FleetShare(WINDOW_MS);
  nextReadAt: number;
  cutUntil = -1;
  /** Names in the last list that was read. */
  lastRead: readonly string[] = [];

  constructor(
    readonly instance: string,
    now: number,
  ) {
    this.nextReadAt = now;
  }
}

/** Part of a right that a process may use; undefined for none. */
type PartOf = (process: Process, now: number) => number | undefined;

const divided: PartOf = ({ share }, now) => {
  const divisor = share.divisor(now);
  return divisor === undefined ? undefined : 1 / divisor;
};
const undivided: PartOf = ({ share }, now) => (share.isOwner(KEY, now) ? 1 : undefined);
/** A faulty rule: whoever is first in the last list has the right at once. */
const undividedAtOnce: PartOf = ({ instance, lastRead }) => {
  return rendezvousOwner(KEY, lastRead) === instance ? 1 : undefined;
};

/** Plays joins, losses, restarts, cuts and stale lists, and returns the largest sum used in a window. */
function largestSum(size: number, seed: number, partOf: PartOf): number {
  const random = createRandom(seed);
  // events are as frequent as reads are, so that instances know the fleet at times.
  const eventChance = (STEP_MS / EVENT_INTERVAL_MS) * (readIntervalMs(7) / readIntervalMs(size));
  const forMs = 8 * (WINDOW_MS + 4 * readIntervalMs(size) + 2 * MAX_STALE_MS);
  let nextInstance = size;
  const listed = new Set<string>(Array.from({ length: size }, (_, at) => `edge-${String(at)}`));
  const listings: { at: number; names: readonly string[] }[] = [
    { at: -60_000, names: [...listed] },
  ];
  let processes = [...listed].map((instance) => new Process(instance, -random.int(0, 5_000)));
  /** Part of the right that each process has used, at the last time at which it used it. */
  const uses: { at: number; part: number }[] = [];
  const usedAt = new Map<Process, number>();
  let largest = 0;
  const changed = (now: number): void => {
    listings.push({ at: now, names: [...listed] });
  };
  const lose = (process: Process): void => {
    processes = processes.filter((each) => each !== process);
  };
  for (let now = 0; now < forMs; now += STEP_MS) {
    if (random.chance(eventChance)) {
      const process = random.pick(processes);
      const kind = random.pick(['restart', 'loss', 'cut', 'removal', 'join', 'joins'] as const);
      if (kind === 'restart') {
        lose(process);
        processes.push(new Process(process.instance, now));
      } else if (kind === 'loss' && processes.length > 2) {
        lose(process);
        listed.delete(process.instance);
        changed(now);
      } else if (kind === 'cut') {
        for (const each of processes) {
          if (random.chance(0.4)) each.cutUntil = now + random.int(1_000, forMs / 4);
        }
      } else if (kind === 'removal' && processes.length > 2) {
        listed.delete(process.instance);
        changed(now);
      } else if (kind === 'join' || kind === 'joins') {
        const count = kind === 'join' ? 1 : random.int(1, size);
        for (let at = 0; at < count; at += 1) {
          nextInstance += 1;
          const name = `edge-${String(nextInstance)}`;
          listed.add(name);
          processes.push(new Process(name, now));
        }
        changed(now);
      }
    }
    for (const process of processes) {
      if (now < process.nextReadAt || now < process.cutUntil) continue;
      const seenAt = now - random.int(0, MAX_STALE_MS);
      const { names } = listings.findLast(({ at }) => at <= seenAt) ?? { names: [...listed] };
      process.share.observe({ at: now, names, reader: process.instance });
      process.lastRead = names;
      const intervalMs = readIntervalMs(names.length) * (0.75 + 0.5 * random.fraction());
      process.nextReadAt = now + intervalMs;
    }
    for (const process of processes) {
      if (now - (usedAt.get(process) ?? -Infinity) <= WINDOW_MS) continue;
      const part = partOf(process, now);
      // a process uses its share now and then, so that windows overlap in all ways.
      if (part === undefined || random.chance(0.5)) continue;
      usedAt.set(process, now);
      uses.push({ at: now, part });
    }
    while ((uses[0]?.at ?? now) < now - WINDOW_MS) uses.shift();
    const sum = uses.reduce((total, { part }) => total + part, 0);
    largest = Math.max(largest, sum);
  }
  return largest;
}

// Guards against repeats beyond the fleet's bound after starts, joins, losses and lists that are unread or old.
describe('in no window do all processes together use more than the whole', () => {
  for (const { size, seeds } of [
    { size: 7, seeds: 300 },
    { size: 200, seeds: 30 },
    { size: 2_800, seeds: 3 },
  ]) {
    test(`with ${String(size)} instances`, () => {
      let best = 0;
      for (let seed = 1; seed <= seeds; seed += 1) {
        const largest = largestSum(size, seed, divided);
        assert.ok(largest <= 1 + 1e-9, `seed ${String(seed)}: ${String(largest)}`);
        best = Math.max(best, largest);
      }
      // a right that nobody ever uses would pass as well.
      assert.ok(best > 0.8, `at most ${String(best)} was used`);
    });
  }
});

// Guards against two instances that both take the whole right of a cold server, after starts, joins, losses and old lists.
describe('in no window do two processes use a right that is not divided', () => {
  for (const { size, seeds } of [
    { size: 7, seeds: 300 },
    { size: 75, seeds: 60 },
    { size: 2_800, seeds: 2 },
  ]) {
    test(`with ${String(size)} instances`, () => {
      let used = 0;
      for (let seed = 1; seed <= seeds; seed += 1) {
        const largest = largestSum(size, seed, undivided);
        assert.ok(largest <= 1, `seed ${String(seed)}: ${String(largest)}`);
        used = Math.max(used, largest);
      }
      // a right that nobody ever uses would pass as well.
      assert.equal(used, 1);
    });
  }

  test('which a rule by the last list alone would break', () => {
    const sums = Array.from({ length: 40 }, (_, at) => largestSum(7, at + 1, undividedAtOnce));
    assert.ok(Math.max(...sums) > 1);
  });
});
