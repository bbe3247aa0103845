import type { FleetView, InstanceCondition, PressureLevel } from '@flamingocourse/core';
import type {
  RotationDecision,
  RotationReason,
} from '../../packages/gateway/src/runtime/readinessPolicy.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ReadinessPolicy } from '../../packages/gateway/src/runtime/readinessPolicy.js';

/** Milliseconds between two decisions, and when the tests begin: after the start of the process. */
const STEP_MS = 250;
const BEGIN = 11_000;

/** Pressure of instances: calm, pressed or overloaded; `-` is calm and not ready, `?` is silent. */
type Letters = string;

const levels: Record<string, PressureLevel> = {
  c: 'calm',
  p: 'pressed',
  o: 'overloaded',
  '-': 'calm',
};

function nameOf(at: number): string {
  return `edge-${String(at).padStart(2, '0')}`;
}

function conditions(letters: Letters, ageMs: number): InstanceCondition[] {
  return Array.from(letters).flatMap((letter, at) => {
    const pressure = levels[letter];
    return pressure ? [{ instance: nameOf(at), pressure, ready: letter !== '-', ageMs }] : [];
  });
}

function summary(dataCentre: string, letters: Letters, ageMs: number): FleetView['dataCentres'][0] {
  const known = conditions(letters, ageMs);
  const count = (level: PressureLevel): number =>
    known.filter(({ pressure }) => pressure === level).length;
  return {
    dataCentre,
    instances: { calm: count('calm'), pressed: count('pressed'), overloaded: count('overloaded') },
    ready: known.filter(({ ready }) => ready).length,
    ageMs,
  };
}

function viewOf(here: Letters, others: Letters[], ageMs = 500): FleetView {
  return {
    at: 0,
    peers: conditions(here, ageMs),
    dataCentres: [
      summary('hall-a', here, ageMs),
      ...others.map((letters, at) => summary(`other-${String(at)}`, letters, ageMs)),
    ],
    demand: {},
  };
}

/** One instance of data centre `hall-a`. */
class Instance {
  readonly #policy = new ReadinessPolicy();
  constructor(readonly at: number) {
    this.#policy.decide({ ...this.#inputs('calm'), view: undefined }, 0);
  }

  decide(letters: Letters, view: FleetView | undefined, now: number): RotationReason | undefined {
    return this.judge(letters, view, now).reason;
  }

  judge(letters: Letters, view: FleetView | undefined, now: number): RotationDecision {
    const pressure = levels[letters[this.at] ?? 'c'] ?? 'calm';
    return this.#policy.decide({ ...this.#inputs(pressure), view }, now);
  }

  #inputs(pressure: PressureLevel): {
    instance: string;
    dataCentre: string;
    pressure: PressureLevel;
  } {
    return { instance: nameOf(this.at), dataCentre: 'hall-a', pressure };
  }
}

/** Reasons of all instances, each by the same view. */
function decideAll(here: Letters, others: Letters[], ageMs?: number): (RotationReason | '')[] {
  return Array.from(here, (_, at) => {
    return new Instance(at).decide(here, viewOf(here, others, ageMs), BEGIN) ?? '';
  });
}

function countOf(reasons: readonly (RotationReason | '')[], reason: RotationReason | ''): number {
  return reasons.filter((found) => found === reason).length;
}

describe('instances that leave rotation at once, by the same view', () => {
  const cases: {
    name: string;
    here: Letters;
    others: Letters[];
    ageMs?: number;
    relief?: number;
    diversion?: number;
  }[] = [
    { name: 'none if all are calm', here: 'cccccc', others: ['cccccc'] },
    { name: 'one of two: none, one is not fewer than half', here: 'oc', others: ['cccc'] },
    { name: 'one of four', here: 'occc', others: ['cccc'], relief: 1 },
    { name: 'a pressed one stays', here: 'pccc', others: ['cccc'] },
    { name: 'two of four: one', here: 'oocc', others: ['cccc'], relief: 1 },
    { name: 'two of six', here: 'oocccc', others: ['cccccc'], relief: 2 },
    { name: 'three of six: two', here: 'oooccc', others: ['cccccc'], relief: 2 },
    { name: 'ten of thirty', here: 'o'.repeat(10) + 'c'.repeat(20), others: [], relief: 10 },
    {
      name: 'fifteen of thirty: fourteen',
      here: 'o'.repeat(15) + 'c'.repeat(15),
      others: [],
      relief: 14,
    },
    { name: 'most of two', here: 'oo', others: ['cccc'], diversion: 2 },
    { name: 'most of four, the calm one too', here: 'oopc', others: ['cccc'], diversion: 4 },
    {
      name: 'half of four are not most',
      here: 'oppc'.replace('p', 'c'),
      others: ['cc'],
      relief: 1,
    },
    { name: 'most of six', here: 'ooppcc', others: ['ccpccc', 'pccccc'], diversion: 6 },
    {
      name: 'most of thirty',
      here: 'p'.repeat(16) + 'c'.repeat(14),
      others: ['c'.repeat(15)],
      diversion: 30,
    },
    // Guards against a data centre that is overloaded by the callers of another one.
    { name: 'most, but the calm one is too small', here: 'oooooo', others: ['cc'] },
    { name: 'most, but the others are pressed', here: 'oooooo', others: ['cpcpcc'] },
    { name: 'most, but an instance elsewhere is overloaded', here: 'oooooo', others: ['occccc'] },
    {
      name: 'most, but another data centre is crowded',
      here: 'oooooo',
      others: ['cccccc', 'ppppcc'],
    },
    {
      name: 'most, but another one sends its callers away',
      here: 'oooooo',
      others: ['cccccc', '----cc'],
    },
    { name: 'most, but no other data centre reports', here: 'oooooo', others: [] },
    { name: 'all everywhere', here: 'oooo', others: ['oooo', 'oooo'] },
    // Guards against a data centre of which fewer than half are left, so that the load balancer uses all.
    { name: 'one is out already', here: 'o-cccc', others: [], relief: 1 },
    { name: 'two of six are out already', here: 'o--ccc', others: [] },
    { name: 'fewer calm ones than would be out', here: 'ooppcc', others: [], relief: 2 },
    { name: 'no calm one', here: 'oopppp', others: [] },
    // Guards against decisions by what was true seconds ago.
    { name: 'none by an old view', here: 'oocccc', others: ['cccccc'], ageMs: 3_001 },
    { name: 'none by an old view of all', here: 'oooooo', others: ['cccccc'], ageMs: 3_001 },
  ];
  for (const { name, here, others, ageMs, relief = 0, diversion = 0 } of cases) {
    test(name, () => {
      const reasons = decideAll(here, others, ageMs);
      assert.deepEqual(
        { relief: countOf(reasons, 'relief'), diversion: countOf(reasons, 'diversion') },
        { relief, diversion },
      );
    });
  }
});

describe('without knowing the others', () => {
  const cases: { name: string; view: FleetView | undefined }[] = [
    { name: 'there is no view', view: undefined },
    { name: 'the view shows the own instance only', view: viewOf('o', []) },
    { name: 'the view shows nobody', view: viewOf('', []) },
  ];
  // Guards against a data centre that leaves rotation because a partition hides that it is alone.
  for (const { name, view } of cases) {
    test(`an overloaded instance stays in rotation: ${name}`, () => {
      const instance = new Instance(0);
      instance.decide('cccc', viewOf('cccc', ['cccc']), BEGIN - STEP_MS);
      assert.equal(instance.decide('occc', view, BEGIN), undefined);
    });
  }
});

describe("callers' connections are closed after the response", () => {
  const cases: { name: string; here: Letters; others: Letters[]; closes: boolean }[] = [
    { name: 'not of a calm instance', here: 'coco', others: [], closes: false },
    { name: 'of a pressed one among calm ones', here: 'pccc', others: [], closes: true },
    // Guards against callers who connect again and again to instances that are all pressed.
    { name: 'not of a pressed one among others', here: 'pppc', others: [], closes: false },
    {
      name: 'of all that are out',
      here: 'ppcc'.replace('cc', 'oc'),
      others: ['cccc'],
      closes: true,
    },
  ];
  for (const { name, here, others, closes } of cases) {
    test(name, () => {
      const decision = new Instance(0).judge(here, viewOf(here, others), BEGIN);
      assert.equal(decision.closesConnections, closes);
    });
  }
});

// Guards against too many instances out, where silent ones are out already for the load balancer.
test('a peer that became silent counts as one that is out, for a minute', () => {
  const instance = new Instance(0);
  instance.decide('cccccc', viewOf('cccccc', []), BEGIN);
  const silent = 'o??ccc';
  assert.equal(instance.decide(silent, viewOf(silent, []), BEGIN + 1_000), undefined);
  assert.equal(instance.decide(silent, viewOf(silent, []), BEGIN + 59_000), undefined);
  assert.equal(instance.decide(silent, viewOf(silent, []), BEGIN + 61_000), 'relief');
});

// Guards against an instance that leaves because its code runs for the first time.
test('an instance begins no relief in its first ten seconds', () => {
  const instance = new Instance(0);
  assert.equal(instance.decide('occc', viewOf('occc', []), 9_900), undefined);
  assert.equal(instance.decide('occc', viewOf('occc', []), 10_000), 'relief');
});

// Guards against an instance that is never relieved because another one had its turn and stays.
test('the next in the order leaves if the one before stays', () => {
  const instance = new Instance(1);
  const at = (ms: number): RotationReason | undefined =>
    instance.decide('oocc', viewOf('oocc', []), BEGIN + ms);
  assert.deepEqual([at(0), at(2_000), at(2_500)], [undefined, undefined, 'relief']);
});

/** Plays one instance, and returns the milliseconds that it was out in each period. */
function play(
  at: number,
  untilMs: number,
  scene: (ms: number) => { here: Letters; others: Letters[]; isBlind?: boolean },
): { reason: RotationReason; since: number; forMs: number }[] {
  const instance = new Instance(at);
  const periods: { reason: RotationReason; since: number; forMs: number }[] = [];
  let last: RotationReason | undefined;
  for (let ms = 0; ms <= untilMs; ms += STEP_MS) {
    const { here, others, isBlind = false } = scene(ms);
    const view = isBlind ? undefined : viewOf(here, others);
    const reason = instance.decide(here, view, BEGIN + ms);
    if (reason && reason !== last) periods.push({ reason, since: ms, forMs: 0 });
    const period = periods.at(-1);
    if (reason && period) period.forMs += STEP_MS;
    last = reason;
  }
  return periods;
}

describe('time out of rotation', () => {
  const cases: {
    name: string;
    scene: Parameters<typeof play>[2];
    periods: ReturnType<typeof play>;
  }[] = [
    {
      name: 'an instance returns after two probes if its pressure is gone',
      scene: (ms) => ({ here: ms < 1_000 ? 'occc' : 'cccc', others: [] }),
      periods: [{ reason: 'relief', since: 0, forMs: 3_000 }],
    },
    {
      name: 'it returns after four seconds anyway',
      scene: () => ({ here: 'occc', others: [] }),
      periods: [{ reason: 'relief', since: 0, forMs: 4_000 }],
    },
    {
      name: 'a data centre returns if the other one becomes pressed',
      scene: (ms) => ({ here: 'oooo', others: [ms < 1_000 ? 'cccc' : 'ppcc'] }),
      periods: [{ reason: 'diversion', since: 0, forMs: 3_000 }],
    },
    {
      name: 'a data centre returns after five seconds anyway',
      scene: () => ({ here: 'oooo', others: ['cccc'] }),
      periods: [{ reason: 'diversion', since: 0, forMs: 5_000 }],
    },
    // Guards against an instance that stays out because it was cut off meanwhile.
    {
      name: 'it returns if the view is lost',
      scene: (ms) => ({ here: 'oooo', others: ['cccc'], isBlind: ms > 500 }),
      periods: [{ reason: 'diversion', since: 0, forMs: 3_000 }],
    },
    {
      name: 'relief becomes a diversion if most are pressed',
      scene: (ms) => ({ here: ms < 1_000 ? 'occc' : 'oppc', others: ['cccc'] }),
      periods: [
        { reason: 'relief', since: 0, forMs: 1_000 },
        { reason: 'diversion', since: 1_000, forMs: 5_000 },
      ],
    },
    // Guards against two data centres that send their callers back and forth.
    {
      name: 'a data centre that got the callers of another one keeps them',
      scene: (ms) => ({
        here: ms < 1_000 ? 'cccc' : 'oooo',
        others: [ms < 2_000 ? '----' : 'cccc'],
      }),
      periods: [{ reason: 'diversion', since: 21_750, forMs: 5_000 }],
    },
  ];
  for (const { name, scene, periods } of cases) {
    test(name, () => {
      assert.deepEqual(play(0, 60_000, scene), periods);
    });
  }

  // Guards against an instance that is out for more than an eighth of the time under lasting overload.
  for (const others of [[], ['cccc']]) {
    test(`at most an eighth of any eighty seconds, ${String(others.length)} calm elsewhere`, () => {
      const here = (ms: number): Letters => (ms % 20_000 < 10_000 ? 'occc' : 'oppp');
      const periods = play(0, 600_000, (ms) => ({ here: here(ms), others }));
      for (const { since } of periods) {
        const within = periods.filter(
          (other) => other.since >= since && other.since < since + 80_000,
        );
        const outMs = within.reduce((sum, { forMs }) => sum + forMs, 0);
        assert.ok(outMs < 80_000 / 8, `${String(outMs)} ms from ${String(since)}`);
      }
      assert.ok(periods.length >= 7);
    });
  }
});

// Guards against a plan that only works if all instances have the same view at the same time.
describe('views that differ in age', () => {
  for (const size of [4, 6, 30]) {
    test(`all of ${String(size)} are out together for a second that the load balancer sees`, () => {
      const crowded = 'o'.repeat(size);
      const others = ['c'.repeat(size)];
      const outs = Array.from({ length: size }, (_, at) => {
        const seesFrom = (at % 5) * 250;
        const scene = (ms: number): ReturnType<Parameters<typeof play>[2]> => ({
          here: ms < seesFrom ? 'c'.repeat(size) : crowded,
          others,
        });
        const [first] = play(at, 20_000, scene);
        return { from: first?.since ?? 0, to: (first?.since ?? 0) + (first?.forMs ?? 0) };
      });
      const from = Math.max(...outs.map((out) => out.from));
      const to = Math.min(...outs.map((out) => out.to));
      assert.ok(to - from >= 3_000, `${String(from)} to ${String(to)}`);
    });
  }
});
