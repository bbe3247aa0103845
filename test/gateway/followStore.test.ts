import type { TestContext } from 'node:test';
import type { FollowProcess } from './fleet/followFleet.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { APPLY_MS, FollowFleet } from './fleet/followFleet.js';

const SIZE = 19;
/** Instances and milliseconds between two changes; in the large data centre watchers follow the first one. */
const shapes = [
  { size: SIZE, changeMs: 170 },
  { size: SIZE, changeMs: 1_370 },
  { size: 75, changeMs: 730 },
];
/** Milliseconds without a fault before and after. */
const SETTLE_MS = 6_000;
const FAULT_MS = 9_000;
const MS_PER_SECOND = 1_000;

/** Plays changes and returns the times at which they were written. */
async function playChanges(fleet: FollowFleet, ms: number, changeMs: number): Promise<number[]> {
  const written: number[] = [];
  await fleet.advance(ms, () => {
    const now = fleet.clock.now();
    if (now - (written.at(-1) ?? -Infinity) >= changeMs) written.push(fleet.write());
  });
  return written;
}

/** Largest number of processes that asked the store in one second, from a time on. */
function largestRush(processes: readonly FollowProcess[], from: number, until: number): number {
  let largest = 0;
  for (let at = from; at < until; at += 100) {
    const isIn = (time: number): boolean => time >= at && time < at + MS_PER_SECOND;
    largest = Math.max(largest, processes.filter(({ callsAt }) => callsAt.some(isIn)).length);
  }
  return largest;
}

function assertInTime(
  processes: readonly FollowProcess[],
  written: readonly number[],
  now: number,
): void {
  for (const { name, knownAt } of processes) {
    for (const at of written.filter((time) => time + APPLY_MS < now)) {
      const afterMs = (knownAt.get(at) ?? Infinity) - at;
      assert.ok(afterMs <= APPLY_MS, `${name} knew a change after ${String(afterMs)} ms`);
    }
  }
}

function assertNoOlderVersion({ name, versions }: FollowProcess): void {
  const older = versions.findIndex((version, i) => version < (versions[i - 1] ?? 0));
  assert.equal(older, -1, `${name} went back to version ${String(versions[older])}`);
}

interface FaultCase {
  name: string;
  /** Returns the processes from which nothing is expected. */
  begin: (fleet: FollowFleet, watcher: FollowProcess) => FollowProcess[] | Promise<FollowProcess[]>;
  end?: (fleet: FollowFleet, watcher: FollowProcess) => void;
  /** Whether more than half of the instances may have to ask the store in one second. */
  mayRush?: boolean;
}

const cases: FaultCase[] = [
  { name: 'nothing is wrong', begin: () => [] },
  {
    name: 'the watcher is killed',
    begin: (_fleet, watcher) => {
      watcher.end();
      return [watcher];
    },
    end: (fleet, { name }) => {
      fleet.startProcess(name);
    },
  },
  {
    name: 'the watcher is paused',
    begin: (_fleet, watcher) => {
      watcher.faults.isPaused = true;
      return [watcher];
    },
    end: (_fleet, watcher) => {
      watcher.faults.isPaused = false;
    },
  },
  {
    name: 'the watcher is slow',
    begin: (_fleet, watcher) => {
      watcher.faults.slowMs = 400;
      return [];
    },
    end: (_fleet, watcher) => {
      watcher.faults.slowMs = 0;
    },
  },
  {
    name: 'the watcher is cut off from the store',
    begin: (_fleet, watcher) => {
      watcher.faults.isStoreCut = true;
      return [watcher];
    },
    end: (_fleet, watcher) => {
      watcher.faults.isStoreCut = false;
    },
  },
  {
    name: 'the watcher is cut off from its followers one way',
    begin: (_fleet, watcher) => {
      watcher.faults.isMute = true;
      return [];
    },
    end: (_fleet, watcher) => {
      watcher.faults.isMute = false;
    },
  },
  {
    name: 'the watcher starts again and is told an older state',
    begin: (fleet, { name }) => {
      const started = fleet.startProcess(name);
      started.faults.staleMs = 2_500;
      return [started];
    },
    end: (fleet, { name }) => {
      const process = fleet.find(name);
      if (process) process.faults.staleMs = 0;
    },
  },
  {
    name: 'half of the instances have another watcher',
    begin: (fleet, watcher) => {
      const others = fleet.names.filter((name) => name !== watcher.name);
      for (const name of fleet.names.slice(0, fleet.names.length / 2)) fleet.setView(name, others);
      return [];
    },
  },
  {
    name: 'the watcher and its stand-in are lost together',
    begin: async (fleet, watcher) => {
      watcher.end();
      await fleet.advance(1_000);
      const standIn = fleet.watcher;
      standIn.faults.isPaused = true;
      return [watcher, standIn];
    },
    end: (fleet) => {
      for (const { faults } of fleet.processes) faults.isPaused = false;
    },
  },
  {
    name: 'the store turns a third of the instances away',
    begin: (fleet, watcher) => {
      const away = fleet.processes.filter((each, n) => each === watcher || n % 3 === 0);
      for (const { faults } of away) faults.isStoreCut = true;
      return away;
    },
    end: (fleet) => {
      for (const { faults } of fleet.processes) faults.isStoreCut = false;
    },
  },
  {
    name: 'all are lost and start again together',
    begin: (fleet) => {
      for (const name of fleet.names) fleet.startProcess(name);
      return [];
    },
    mayRush: true,
  },
];

// Guards against changes that an instance in touch with the store applies too late, as another one passes them on.
describe('instances that follow the store through one of them', () => {
  const played = cases.flatMap((each) => shapes.map((shape) => ({ ...each, ...shape })));
  for (const { name, begin, end, mayRush = false, size, changeMs } of played) {
    const title = `${String(size)} of them, a change each ${String(changeMs)} ms`;
    test(`know each change in time: ${name}; ${title}`, async (t) => {
      const fleet = FollowFleet.start(t, size);
      const before = await playChanges(fleet, SETTLE_MS, changeMs);
      assertInTime(fleet.processes, before.slice(1), fleet.clock.now());
      const { watcher } = fleet;
      const beganAt = fleet.clock.now();
      const excused = await begin(fleet, watcher);
      const during = await playChanges(fleet, FAULT_MS, changeMs);
      const inTouch = fleet.processes.filter((process) => !excused.includes(process));
      assertInTime(inTouch, during, fleet.clock.now());
      const rush = largestRush(inTouch, beganAt, fleet.clock.now());
      assert.ok(mayRush || rush < size / 2, `${String(rush)} asked the store in one second`);
      end?.(fleet, watcher);
      const after = await playChanges(fleet, SETTLE_MS, changeMs);
      assertInTime(fleet.processes, after.slice(1), fleet.clock.now());
      for (const process of fleet.processes) assertNoOlderVersion(process);
    });
  }
});

/** Calls to the store in a second without changes, of all instances of a data centre. */
async function callsAtRest(t: TestContext, size: number): Promise<number> {
  const fleet = FollowFleet.start(t, size);
  await fleet.advance(SETTLE_MS);
  const from = fleet.clock.now();
  await fleet.advance(FAULT_MS);
  const calls = fleet.processes.flatMap(({ callsAt }) => callsAt.filter((at) => at >= from));
  return (MS_PER_SECOND * calls.length) / FAULT_MS;
}

// Guards against a store whose price grows with each instance.
describe('calls to the store at rest', () => {
  test('a data centre of 19 instances asks for at most a quarter of what each would for itself', async (t) => {
    const forItself = (await callsAtRest(t, 1)) * SIZE;
    t.mock.timers.reset();
    const together = await callsAtRest(t, SIZE);
    assert.ok(together <= forItself / 4, `${String(together)} of ${String(forItself)} a second`);
  });

  test('a data centre of 75 instances asks at most 1.5 times as often as one of 8', async (t) => {
    const small = await callsAtRest(t, 8);
    t.mock.timers.reset();
    const large = await callsAtRest(t, 75);
    assert.ok(large <= 1.5 * small, `${String(large)} for ${String(small)} a second`);
  });
});
