import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ArrivalBounds } from '../../packages/gateway/src/runtime/arrivalBounds.js';
import { ConnectionIntake } from '../../packages/gateway/src/runtime/connectionIntake.js';

type Step = { add: string; openedFrom: number } | { at: number; isAccepting?: boolean };

/** Ends of iterations that each accepted a connection. */
function accepting(...times: number[]): Step[] {
  return times.map((at) => ({ at, isAccepting: true }));
}

describe('connections that wait to be read', () => {
  const cases: { name: string; steps: Step[]; read: string[]; close: string[] }[] = [
    {
      name: 'are read once no other is accepted',
      steps: [{ add: 'a', openedFrom: 0 }, { at: 0, isAccepting: true }, { at: 1 }],
      read: ['a'],
      close: [],
    },
    {
      name: 'wait while others are accepted',
      steps: [{ add: 'a', openedFrom: 0 }, ...accepting(0, 20)],
      read: [],
      close: [],
    },
    {
      name: 'do not wait for more than some others',
      steps: [{ add: 'a', openedFrom: 0 }, ...accepting(0, 20, 40)],
      read: ['a'],
      close: [],
    },
    {
      name: 'wait for some milliseconds after others were read',
      steps: [
        { add: 'a', openedFrom: 0 },
        ...accepting(0, 1, 2),
        { add: 'b', openedFrom: 0 },
        ...accepting(3, 4, 5, 6),
      ],
      read: ['a'],
      close: [],
    },
    {
      name: 'are all read after a pause, however long they waited',
      steps: [
        { add: 'a', openedFrom: 0 },
        { add: 'b', openedFrom: 0 },
        { at: 900 },
        { add: 'c', openedFrom: 0 },
        { at: 920, isAccepting: true },
        { at: 940 },
      ],
      read: ['a', 'b', 'c'],
      close: [],
    },
    {
      name: 'are closed unread if some have waited too long for a while',
      steps: [
        ...['a', 'b', 'c', 'd', 'e'].map((add) => ({ add, openedFrom: 0 })),
        { at: 400 },
        { add: 'f', openedFrom: 350 },
        { at: 405, isAccepting: true },
        { add: 'g', openedFrom: 690 },
        { at: 701 },
      ],
      read: ['a', 'b', 'c', 'd', 'g'],
      close: ['e', 'f'],
    },
    {
      name: 'are read again however long they waited once none has for a second',
      steps: [
        ...['a', 'b', 'c', 'd', 'e'].map((add) => ({ add, openedFrom: 0 })),
        { at: 400 },
        { at: 701, isAccepting: true },
        { at: 1_702 },
        { add: 'f', openedFrom: 0 },
        { at: 1_730 },
      ],
      read: ['a', 'b', 'c', 'd', 'f'],
      close: ['e'],
    },
  ];
  for (const { name, steps, read, close } of cases) {
    test(name, () => {
      const intake = new ConnectionIntake<string>();
      const seen: { read: string[]; close: string[] } = { read: [], close: [] };
      for (const step of steps) {
        if ('add' in step) intake.add(step.add, step.openedFrom);
        else {
          const next = intake.next({ isAccepting: step.isAccepting ?? false, now: step.at });
          seen.read.push(...next.read);
          seen.close.push(...next.close);
        }
      }
      assert.deepEqual(seen, { read, close });
    });
  }
});

/** Milliseconds of a processor that accepting a connection, serving its request and closing it unread take. */
const ACCEPT_MS = 0.25;
const SERVE_MS = 1.5;
const CLOSE_MS = 0.1;
/** Share of a processor, and the turn of the operating system in which the process gets it. */
const SHARE = 0.12;
const TURN_MS = 100;
const LOAD_MS = 20_000;
/** Milliseconds after which a caller needs its answer, and after which it is held past the timeout of its route. */
const TARGET_MS = 400;
const HELD_MS = 2_500;

/** Fraction of what it can serve that has to be served in time. */
const CAPACITY_FRACTION = 0.9;

/** Requests that the process can serve in a second if it closes all others unread. */
function capacityAt(perSecond: number): number {
  const left = 1_000 * SHARE - perSecond * (ACCEPT_MS + CLOSE_MS);
  return left / (SERVE_MS - CLOSE_MS);
}

interface Ended {
  served: number[];
  closed: number[];
}

/** Plays new connections at a constant rate to a process with a small share of a processor. */
function play(perSecond: number): Ended {
  const bounds = new ArrivalBounds(0);
  const intake = new ConnectionIntake<number>();
  const opened = Array.from(
    { length: (LOAD_MS / 1_000) * perSecond },
    (_, at) => (at * 1_000) / perSecond,
  );
  const ended: Ended = { served: [], closed: [] };
  let used = 0;
  let now = 0;
  const work = (ms: number): void => {
    used += ms;
    now += ms;
    while (used >= SHARE * TURN_MS) {
      used -= SHARE * TURN_MS;
      now += (1 - SHARE) * TURN_MS;
    }
  };
  let toServe: number[] = [];
  while (opened.length > 0 || !intake.isEmpty || toServe.length > 0) {
    const [first = Infinity] = opened;
    const isAccepting = first <= now;
    if (isAccepting) {
      bounds.accepted();
      intake.add(opened.shift() ?? 0, bounds.connectionsFrom);
      work(ACCEPT_MS);
    } else if (intake.isEmpty && toServe.length === 0) {
      now = first;
    }
    for (const at of toServe) {
      work(SERVE_MS);
      ended.served.push(now - at);
    }
    bounds.beforePoll(now);
    const { read, close } = intake.next({ isAccepting, now });
    for (const at of close) {
      work(CLOSE_MS);
      ended.closed.push(now - at);
    }
    toServe = read;
  }
  return ended;
}

// Guards against an instance to which most new connections go and which answers all of them too late.
describe('most new connections of a data centre go to an instance with 0.12 of a processor', () => {
  for (const perSecond of [40, 60, 160, 240]) {
    test(`${String(perSecond)} a second: as many as it can serve are served in time, none is held`, () => {
      const { served, closed } = play(perSecond);
      const inTime = served.filter((ms) => ms <= TARGET_MS).length;
      const seconds = LOAD_MS / 1_000;
      const capacity = seconds * capacityAt(perSecond);
      assert.ok(
        inTime >= Math.min(perSecond * seconds, CAPACITY_FRACTION * capacity),
        `${String(inTime)} in time of ${String(capacity)}`,
      );
      assert.equal([...served, ...closed].filter((ms) => ms > HELD_MS).length, 0);
      if (capacity > perSecond * seconds) assert.equal(closed.length, 0);
    });
  }
});

describe('connections that wait to be accepted', () => {
  /** Times at which the next one was judged, with when it was opened. */
  const cases: { name: string; judged: [now: number, openedFrom: number][]; last: string }[] = [
    { name: 'are accepted while none has waited for long', judged: [[900, 800]], last: 'accept' },
    {
      name: 'are closed one by one if they have waited too long',
      judged: [[900, 0]],
      last: 'close',
    },
    // Guards against callers who are closed after seconds, because each closing takes too long.
    {
      name: 'are all closed if that does not come to those that wait for a short time',
      judged: [
        [900, 0],
        [1_000, 20],
        [1_101, 40],
      ],
      last: 'shed',
    },
    // Guards against callers who are closed although a process that had paused would soon serve them.
    {
      name: 'are accepted once it does',
      judged: [
        [900, 0],
        [1_000, 600],
        [1_101, 900],
      ],
      last: 'accept',
    },
    {
      name: 'are closed one by one again after all were closed',
      judged: [
        [900, 0],
        [1_101, 40],
        [1_150, 800],
      ],
      last: 'close',
    },
  ];
  for (const { name, judged, last } of cases) {
    test(name, () => {
      const intake = new ConnectionIntake<string>();
      intake.add('old', 0);
      // an old connection makes the process count as overloaded after some time.
      for (const now of [500, 890]) intake.next({ isAccepting: true, now });
      const verdicts = judged.map(([now, openedFrom]) => intake.judgeNext({ openedFrom, now }));
      assert.equal(verdicts.at(-1), last);
    });
  }
});
