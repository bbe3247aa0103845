import type { FleetInstance, FollowAnswer, FollowRequest } from '@flamingocourse/core';
import type { TestContext } from 'node:test';
import assert from 'node:assert/strict';
import { syncBuiltinESMExports } from 'node:module';
import { describe, test } from 'node:test';
import { setImmediate as turn, setTimeout as delay } from 'node:timers/promises';
import { ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { StoreRelay } from '../../packages/gateway/src/node/storeRelay.js';
import { ChangeLog } from '../../packages/gateway/src/runtime/changeLog.js';
import {
  MIN_SHARED_INSTANCES,
  WatcherChoice,
} from '../../packages/gateway/src/runtime/watcherChoice.js';
import type { FollowFault } from '../../packages/gateway/src/types/followCalls.js';
import { FollowCalls } from '../../packages/gateway/src/types/followCalls.js';
import { followAnswerSchema } from '../../packages/gateway/src/utils/followAnswerSchema.js';
import { failTest } from '../store/fixtures.js';

const CONFIGURATION_IDLE_MS = 4_000;
const STEP_MS = 10;

function instancesOf(count: number): FleetInstance[] {
  return Array.from({ length: count }, (_, n) => ({
    name: `edge-${String(n)}`,
    dataCentre: 'hall-a',
    meshUrl: `http://edge-${String(n)}`,
  }));
}

/** An instance of a small data centre that follows another one. */
const follower =
  instancesOf(8).find(({ name }) => new WatcherChoice(name).choose(instancesOf(8), false, 0))
    ?.name ?? '';

type Answer = FollowAnswer['collections'][string] | 'nothing';

/** Milliseconds for which the scripted peers hold a call. */
const ANSWER_MS = 650;

const change = (name: string, version: string, value: unknown) =>
  ({ type: 'changed', object: { name, version, value } }) as const;

/** Answers each call with the next of these, the last one for ever. */
class ScriptedCalls extends FollowCalls {
  constructor(readonly answers: Answer[]) {
    super();
  }

  override async follow(
    peer: FleetInstance,
    { waitMs }: FollowRequest,
    timeoutMs: number,
  ): Promise<Result<FollowAnswer, FollowFault>> {
    const heldMs = Math.min(waitMs, ANSWER_MS);
    await delay(Math.min(timeoutMs, heldMs));
    if (timeoutMs < heldMs) return Result.err({ reason: 'no answer in time', isRefusal: false });
    const answer = (this.answers.length > 1 ? this.answers.shift() : this.answers[0]) ?? 'nothing';
    return Result.ok({
      collections: answer === 'nothing' ? {} : { notes: answer },
      heldMs,
    });
  }
}

/** A relay whose peers answer as scripted, and a watch that follows them from version 7. */
class RelayWorld {
  readonly clock = new ManualClock(1_000);
  readonly log = new MemoryEventLog();
  readonly heard: { version: string; ageMs: number }[] = [];
  readonly relay: StoreRelay;
  hasEnded = false;
  readonly #t: TestContext;

  constructor(t: TestContext, calls: FollowCalls, instance = follower, size = 8) {
    this.#t = t;
    t.mock.timers.enable({ apis: ['setTimeout'] });
    syncBuiltinESMExports();
    const watch = new AbortController();
    t.after(() => {
      watch.abort();
      t.mock.timers.reset();
      syncBuiltinESMExports();
    });
    const instances = instancesOf(size);
    this.relay = new StoreRelay({
      instance,
      configurationIdleMs: CONFIGURATION_IDLE_MS,
      clock: this.clock,
      log: this.log,
      calls,
      instances: () => instances,
      onFailure: (err) => {
        throw err;
      },
    });
    this.relay.recordList('notes', '7');
    const onChanges = (_changes: unknown, version: string, ageMs: number): void => {
      this.heard.push({ version, ageMs });
    };
    void this.relay
      .follow({ collection: 'notes', version: '7', signal: watch.signal, onChanges })
      .then(() => {
        this.hasEnded = true;
      });
  }

  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.#t.mock.timers.tick(STEP_MS);
      await turn();
    }
  }
}

// Guards against a watch that relies on a peer which no longer hears from the store, or knows less than before.
describe('a watch that follows a peer', () => {
  const cases: { name: string; answers: Answer[]; ms: number; ended: boolean; heard: string[] }[] =
    [
      {
        name: 'goes on while the word is fresh',
        answers: [{ version: '8', ageMs: 100, changes: [] }],
        ms: 10_000,
        ended: false,
        heard: ['8'],
      },
      {
        name: 'asks the store once the word is too old',
        answers: [{ version: '8', ageMs: 3_000, changes: [] }],
        ms: 2_550,
        ended: true,
        heard: ['8'],
      },
      {
        name: 'asks the store if the peer knows nothing of the collection',
        answers: ['nothing'],
        ms: 2_550,
        ended: true,
        heard: [],
      },
      {
        name: 'asks the store if the peer says so',
        answers: ['ask-store'],
        ms: 700,
        ended: true,
        heard: [],
      },
      {
        name: 'does not go back to an older version',
        answers: [
          { version: '9', ageMs: 100, changes: [] },
          { version: '8', ageMs: 100, changes: [] },
        ],
        ms: 2_000,
        ended: false,
        heard: ['9'],
      },
    ];
  for (const { name, answers, ms, ended, heard } of cases) {
    test(name, async (t) => {
      const world = new RelayWorld(t, new ScriptedCalls(answers));
      await world.advance(ms);
      assert.equal(world.hasEnded, ended);
      assert.deepEqual([...new Set(world.heard.map(({ version }) => version))], heard);
    });
  }

  test('does not take a watcher for silent because it is due itself', async (t) => {
    const world = new RelayWorld(t, new ScriptedCalls(['nothing']));
    await world.advance(2_600);
    assert.equal(world.hasEnded, true);
    assert.deepEqual(
      world.log.events.filter(({ event }) => event === 'watcher-lost'),
      [],
    );
  });

  test('asks the store as soon as others follow this instance', async (t) => {
    const world = new RelayWorld(t, new ScriptedCalls([{ version: '8', ageMs: 0, changes: [] }]));
    await world.advance(1_000);
    assert.equal(world.hasEnded, false);
    void world.relay.answer({ positions: { notes: '7' }, waitMs: 1_000 });
    await world.advance(STEP_MS);
    assert.equal(world.hasEnded, true);
  });

  test('adds the time on the way to the age of the word', async (t) => {
    const calls = new (class extends ScriptedCalls {
      override async follow(
        peer: FleetInstance,
        request: FollowRequest,
        timeoutMs: number,
      ): Promise<Result<FollowAnswer, FollowFault>> {
        const answer = await super.follow(peer, request, timeoutMs);
        await delay(200);
        return answer;
      }
    })([{ version: '8', ageMs: 100, changes: [] }]);
    const world = new RelayWorld(t, calls);
    await world.advance(1_000);
    const ageMs = world.heard[0]?.ageMs ?? 0;
    assert.ok(ageMs >= 300, `its age is ${String(ageMs)} ms`);
  });
});

describe('what is passed on', () => {
  // Guards against changes that wait at a watcher until its followers' calls are over.
  test('goes on at once through a watcher that follows another one', async (t) => {
    const instances = instancesOf(20);
    const second = instances.find(({ name }) => {
      return new WatcherChoice(name).choose(instances, true, 0) !== undefined;
    });
    const calls = new ScriptedCalls([
      'nothing',
      { version: '8', ageMs: 0, changes: [change('a', '8', 1)] },
      'nothing',
    ]);
    const world = new RelayWorld(t, calls, second?.name, 20);
    let answeredAt = Infinity;
    const changesOf = (answer: Result<FollowAnswer, string>): unknown => {
      const { notes } = answer.unwrapOrElse(failTest).collections;
      return notes === 'ask-store' ? notes : notes?.changes;
    };
    let passedOn: unknown;
    void world.relay.answer({ positions: { notes: '7' }, waitMs: 5_000 }).then((answer) => {
      answeredAt = world.clock.now();
      passedOn = changesOf(answer);
    });
    await world.advance(2_000);
    assert.deepEqual(passedOn, [change('a', '8', 1)]);
    assert.ok(answeredAt < 2_100, `answered at ${String(answeredAt)}`);
  });

  const followerAt = async (
    t: TestContext,
    position: string,
    prepare: (relay: StoreRelay) => void,
  ): Promise<Result<FollowAnswer, string> | undefined> => {
    const world = new RelayWorld(t, new ScriptedCalls(['nothing']));
    prepare(world.relay);
    let answer: Result<FollowAnswer, string> | undefined;
    void world.relay.answer({ positions: { notes: position }, waitMs: 300 }).then((given) => {
      answer = given;
    });
    await world.advance(400);
    return answer;
  };
  test('are the changes after what the follower knows', async (t) => {
    const answer = await followerAt(t, '8', (relay) => {
      relay.recordChanges('notes', '7', '8', [change('a', '8', 1)]);
      relay.recordChanges('notes', '8', '9', [change('b', '9', 2)]);
    });
    const { notes } = answer?.unwrapOrElse(failTest).collections ?? {};
    assert.deepEqual(notes !== 'ask-store' && notes?.changes, [change('b', '9', 2)]);
  });

  const refusals: { name: string; position: string; prepare: (relay: StoreRelay) => void }[] = [
    {
      name: 'no changes that were forgotten',
      position: '5',
      prepare: () => undefined,
    },
    {
      name: 'no changes that would fill the network',
      position: '7',
      prepare: (relay) => {
        relay.recordChanges('notes', '7', '8', [change('a', '8', 'x'.repeat(20_000))]);
      },
    },
  ];
  for (const { name, position, prepare } of refusals) {
    test(name, async (t) => {
      const answer = await followerAt(t, position, prepare);
      assert.equal(answer?.unwrapOrElse(failTest).collections.notes, 'ask-store');
    });
  }

  test('nothing to a follower that knows more', async (t) => {
    const answer = await followerAt(t, '9', () => undefined);
    assert.deepEqual(answer?.unwrapOrElse(failTest).collections, {});
  });

  test('what is known while a single call to the store broke', async (t) => {
    const answer = await followerAt(t, '7', (relay) => {
      relay.recordSilence('notes');
    });
    assert.equal(answer?.isOk, true);
  });

  test('nothing once the store has not answered for long', async (t) => {
    const world = new RelayWorld(t, new ScriptedCalls(['nothing']));
    await world.advance(1_250);
    world.relay.recordSilence('notes');
    const answer = await world.relay.answer({ positions: { notes: '7' }, waitMs: 300 });
    assert.equal(answer.isErr, true);
  });

  test('nothing by an instance that stops', async (t) => {
    const answer = await followerAt(t, '7', (relay) => {
      relay.beginStop();
    });
    assert.equal(answer?.isErr, true);
  });
});

describe('the log of changes', () => {
  const removed = { type: 'removed', name: 'a' } as const;
  const changed = { type: 'changed', object: { name: 'a', version: '9', value: 1 } } as const;
  const cases = [
    { name: 'is unknown before the first read', steps: [], since: '1', changes: undefined },
    { name: 'is empty after a read', steps: ['list 7'], since: '7', changes: [] },
    { name: 'does not reach before a read', steps: ['list 7'], since: '6', changes: undefined },
    { name: 'goes on without changes', steps: ['list 7', '7 8'], since: '7', changes: [] },
    { name: 'begins anew after a gap', steps: ['list 7', '8 9'], since: '7', changes: undefined },
  ];
  for (const { name, steps, since, changes } of cases) {
    test(name, () => {
      const log = new ChangeLog();
      for (const step of steps) {
        const [from = '', to = ''] = step.split(' ');
        if (from === 'list') log.reset(to);
        else log.record(from, to, []);
      }
      assert.deepEqual(log.since(since), changes);
    });
  }

  test('has the last change of each object', () => {
    const log = new ChangeLog();
    log.record('7', '8', [removed]);
    log.record('8', '9', [changed]);
    assert.deepEqual(log.since('7'), [changed]);
    assert.deepEqual(log.since('8'), [changed]);
    assert.deepEqual(log.since('9'), []);
  });

  test('forgets the oldest changes of many', () => {
    const log = new ChangeLog();
    for (let n = 1; n <= 100; n += 1) log.record(String(n), String(n + 1), [{ ...removed }]);
    assert.equal(log.since('1'), undefined);
    assert.deepEqual(log.since('90'), [removed]);
  });
});

describe('the choice of a watcher', () => {
  test('is nobody in a small data centre', () => {
    const instances = instancesOf(MIN_SHARED_INSTANCES - 1);
    for (const { name } of instances) {
      assert.equal(new WatcherChoice(name).choose(instances, false, 0), undefined);
    }
  });

  test('is the same for all in a middling one, and nobody for the watcher', () => {
    const instances = instancesOf(10);
    const chosen = instances.map(({ name }) => new WatcherChoice(name).choose(instances, false, 0));
    assert.equal(new Set(chosen.filter((each) => each !== undefined)).size, 1);
    assert.equal(chosen.filter((each) => each === undefined).length, 1);
  });

  test('serves few watchers and few instances each, however large the data centre is', () => {
    for (const count of [19, 75, 700]) {
      const instances = instancesOf(count);
      const followed = new Map<string, number>();
      for (const { name } of instances) {
        const chosen = new WatcherChoice(name).choose(instances, false, 0)?.name ?? 'store';
        followed.set(chosen, (followed.get(chosen) ?? 0) + 1);
      }
      assert.equal(followed.get('store'), 1);
      const most = Math.max(...followed.values());
      assert.ok(most <= 20 + 3 * Math.sqrt(count), `${String(most)} of ${String(count)}`);
    }
  });

  // Guards against instances that wait for each other's word, because they know different instances.
  test('never leads in a circle, whichever instances each one knows', () => {
    const all = instancesOf(100);
    const next = new Map<string, string | undefined>();
    for (const [n, { name }] of all.entries()) {
      const known = all.filter((each, i) => each.name === name || (i * 7 + n) % 3 !== 0);
      next.set(name, new WatcherChoice(name).choose(known, true, 0)?.name);
    }
    for (const { name } of all) {
      let at: string | undefined = name;
      for (let steps = 0; at !== undefined; steps += 1) {
        assert.ok(steps < all.length, `${name} waits for itself`);
        at = next.get(at);
      }
    }
  });

  const failures = [
    { how: 'silent', most: 3, forMs: 20_000 },
    { how: 'refused', most: 6, forMs: 5_000 },
  ] as const;
  for (const { how, most, forMs } of failures) {
    test(`passes over those that are ${how} for a while, and ends after ${String(most)}`, () => {
      const instances = instancesOf(30);

      const choice = new WatcherChoice('edge-none');
      const tried: (string | undefined)[] = [];
      for (let n = 0; n <= most; n += 1) {
        const name = choice.choose(instances, false, n)?.name;
        tried.push(name);
        if (name !== undefined) choice.recordFailure(name, how, n);
      }
      assert.equal(new Set(tried.slice(0, most)).size, most);
      assert.equal(tried[most], undefined);
      assert.equal(choice.choose(instances, false, forMs)?.name, tried[0]);
    });
  }
});

// Guards against a peer's answer that ends a process.
describe('an answer of a peer that cannot be used', () => {
  const cases: [name: string, answer: unknown][] = [
    ['nothing', undefined],
    ['no collections', { heldMs: 1 }],
    [
      'a version that is no number',
      { collections: { a: { version: 'x', ageMs: 0, changes: [] } }, heldMs: 0 },
    ],
    ['an age below 0', { collections: { a: { version: '1', ageMs: -1, changes: [] } }, heldMs: 0 }],
    [
      'a change without an object',
      { collections: { a: { version: '1', ageMs: 0, changes: [{ type: 'changed' }] } }, heldMs: 0 },
    ],
  ];
  for (const [name, answer] of cases) {
    test(name, () => {
      assert.equal(followAnswerSchema.safeParse(answer).success, false);
    });
  }
});
