import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { Candidate, EngineTerms, PromptPart } from '@flamingocourse/core';
import {
  CacheRetention,
  CheapestChooser,
  PowerOfTwoChooser,
  PromptCache,
  PromptPlacement,
  PromptRun,
  ReadingSpeed,
  UsualWaits,
  chainKeys,
  hash32,
  placementSum,
  rendezvousRank,
} from '@flamingocourse/core';
import { createRandom } from './fixtures/seededRandom.js';

const ENGINES = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
const TOKENS_PER_MS = 60;
const SESSION: PromptPart[] = [
  { id: 'system', tokens: 2_500 },
  { id: 'session-7', tokens: 3_800 },
  { id: 'question', tokens: 900 },
];
const PROMPT_TOKENS = 7_200;
const OWNER = ownerOf(ENGINES);
const OTHER = ENGINES.find((id) => id !== OWNER) ?? '';

function ownerOf(ids: string[]): string {
  const rank = (id: string): number => rendezvousRank(hash32('session-7'), hash32(id));
  return ids.reduce((best, next) => (rank(next) > rank(best) ? next : best));
}

function candidate(id: string, changes: Partial<Candidate> = {}): Candidate {
  const fixed = { id, idHash: hash32(id), url: `http://${id}`, local: true };
  return { ...fixed, load: 1, capacity: 12, hasRoom: true, isDue: false, ...changes };
}

/** One instance, which has learned how fast the engines read. */
class Instance {
  readonly born = new Map<string, number>();
  readonly costs: PromptPlacement;
  readonly #chooser: CheapestChooser;

  constructor(terms: EngineTerms = { copiesPrompts: false }) {
    const server = (id: string): { id: string; bornAt: number; dataCentre: string } => {
      return { id, bornAt: this.born.get(id) ?? 0, dataCentre: id === 'e7' ? 'dc-b' : 'dc-a' };
    };
    this.costs = new PromptPlacement({ server, canCopyFrom: () => true }, () => terms);
    for (let i = 0; i < 20; i += 1) this.costs.speed.observe('e9', 6_000, 6_000 / TOKENS_PER_MS);
    for (let i = 0; i < 20; i += 1) this.costs.waits.observe(1 / 12, 1);
    this.#chooser = new CheapestChooser(this.costs, new PowerOfTwoChooser());
  }

  choose(now: number, changes: Record<string, Partial<Candidate>> = {}, seed = 1): Candidate {
    const [first, ...rest] = ENGINES.map((id) => candidate(id, changes[id]));
    assert.ok(first);
    const request = {
      parts: SESSION,
      promptTokens: PROMPT_TOKENS,
      prefixHash: hash32('session-7'),
      now,
    };
    return this.#chooser.pick([first, ...rest], request, createRandom(seed));
  }

  /** Sends the prompt to a server, whose first event comes some milliseconds later. */
  send(to: Candidate, now: number, tookMs: number): ReturnType<PromptRun['firstEvent']> {
    const query = { parts: SESSION, promptTokens: PROMPT_TOKENS, owner: OWNER };
    const plan = this.costs.plan(to, this.costs.prepare(query, now), now);
    const server = { id: to.id, bornAt: this.born.get(to.id) ?? 0 };
    const run = new PromptRun(this.costs, { candidate: to, server, query, plan }, now);
    const reading = run.firstEvent(now + tookMs);
    run.end();
    return reading;
  }

  keptAt(id: string, now: number): number {
    const query = { parts: SESSION, promptTokens: PROMPT_TOKENS, owner: OWNER };
    return this.costs.plan(candidate(id), this.costs.prepare(query, now), now).cost.keptTokens;
  }
}

const READ_MS = PROMPT_TOKENS / TOKENS_PER_MS;

// Guards against reading a prompt again, or against waiting longer for its cache than reading takes.
describe('the server of a prompt', () => {
  const slow = { [OWNER]: { slowdown: 10, load: 12 } };
  const cases = [
    { name: 'hot session: where it was read', readAt: OTHER, changes: {}, expected: OTHER },
    { name: 'never seen: the owner', readAt: undefined, changes: {}, expected: OWNER },
    {
      name: 'very slow owner where requests wait: another one',
      readAt: OWNER,
      changes: slow,
      expected: 'another',
    },
    {
      name: 'slow but cached: stays',
      readAt: OWNER,
      changes: { [OWNER]: { slowdown: 2 } },
      expected: OWNER,
    },
  ];
  for (const { name, readAt, changes, expected } of cases) {
    test(name, () => {
      const instance = new Instance();
      for (let i = 0; i < 40; i += 1) instance.costs.waits.observe(1, 100);
      if (readAt !== undefined) instance.send(candidate(readAt), 0, READ_MS + 2);
      const { id } = instance.choose(500, changes);
      if (expected === 'another') assert.notEqual(id, OWNER);
      else assert.equal(id, expected);
    });
  }
});

// Guards against one engine that gets all requests of a first part that many prompts share.
test('a hot first part spreads to engines where it was read once the owner is busy', () => {
  const instance = new Instance();
  for (let i = 0; i < 40; i += 1) instance.costs.waits.observe(2, 800);
  const chosen = new Set<string>();
  for (let now = 0; now < 4_000; now += 100) {
    const to = instance.choose(now, { [OWNER]: { load: 24 } }, now + 1);
    chosen.add(to.id);
    instance.send(to, now, READ_MS);
  }
  assert.ok(!chosen.has(OWNER), [...chosen].join());
  assert.ok(chosen.size <= 4, `read at ${String(chosen.size)} engines`);
});

// Guards against all instances with the same view choosing the same idle engine.
test('without a prompt that anybody has cached, instances choose different engines', () => {
  const loads = Object.fromEntries(ENGINES.map((id) => [id, { load: id === OWNER ? 24 : 1 }]));
  const chosen = Array.from({ length: 40 }, (_, seed) => {
    const instance = new Instance();
    for (let i = 0; i < 40; i += 1) instance.costs.waits.observe(2, 5_000);
    return instance.choose(0, loads, seed * 7_919 + 1).id;
  });
  const most = Math.max(...ENGINES.map((id) => chosen.filter((each) => each === id).length));
  assert.ok(new Set(chosen).size >= 4 && most <= 20, chosen.join(' '));
});

// Guards against placements that evict what running requests need, and so preempt them.
describe('memory', () => {
  const terms = {
    server: 'e0',
    promptTokens: 7_200,
    keptTokens: 0,
    keptAnywhere: 0,
    usualTokensPerMs: 60,
    tokensPerMs: 60,
    waitMs: 0,
    aheadTokens: 0,
    local: true,
    reuseShare: 0.5,
  };
  const cases = [
    { name: 'unknown', running: 90_000, memory: undefined, min: 0, max: 0 },
    { name: 'empty', running: 0, memory: 100_000, min: 0, max: 10 },
    { name: 'nearly full', running: 90_000, memory: 100_000, min: 40, max: 70 },
    {
      name: 'full: what is preempted is read again',
      running: 100_000,
      memory: 100_000,
      min: 150,
      max: 200,
    },
  ];
  for (const { name, running, memory, min, max } of cases) {
    test(name, () => {
      const sum = placementSum({ ...terms, runningTokens: running, memoryTokens: memory });
      assert.ok(sum.displacedMs >= min && sum.displacedMs <= max, String(sum.displacedMs));
    });
  }
});

// Guards against incorrect reports of a slowdown that make a server infinitely dear or free.
describe('a slowdown is bounded', () => {
  const cases = [
    { slowdown: undefined, factor: 1 },
    { slowdown: Number.NaN, factor: 1 },
    { slowdown: 0, factor: 0.2 },
    { slowdown: 2.5, factor: 2.5 },
    { slowdown: 1e9, factor: 10 },
  ];
  for (const { slowdown, factor } of cases) {
    test(String(slowdown), () => {
      const instance = new Instance();
      const prompt = instance.costs.prepare({ parts: [], promptTokens: 6_000 }, 0);
      const { cost } = instance.costs.plan(candidate('e0', { slowdown }), prompt, 0);
      assert.ok(Math.abs(cost.readMs - factor * 100) < 0.001, String(cost.readMs));
    });
  }
});

// Guards against instances that divide a prompt between several engines although neither knows of the other.
test('two instances that disagree meet at one server', () => {
  const [a, b] = [new Instance(), new Instance()];
  a.send(candidate(OTHER), 0, READ_MS);
  assert.equal(a.choose(500).id, OTHER);
  assert.equal(b.choose(500).id, OWNER);
  // the estimate of the first instance is outdated by then, and the owner has the prompt.
  assert.equal(a.choose(200_000).id, OWNER);
  assert.equal(b.choose(200_000).id, OWNER);
});

// Guards against trust in the cache of a process that has ended.
describe('a server that restarted', () => {
  const cases = [
    { name: 'is listed with another start', restart: (i: Instance) => i.born.set(OTHER, 9_000) },
    {
      name: 'crashed',
      restart: (i: Instance) => {
        i.costs.belief.dropServer(OTHER);
      },
    },
  ];
  for (const { name, restart } of cases) {
    test(`${name}: keeps nothing that this instance sent`, () => {
      const instance = new Instance();
      instance.send(candidate(OTHER), 0, READ_MS);
      assert.ok(instance.keptAt(OTHER, 500) > 6_500);
      restart(instance);
      assert.ok(instance.keptAt(OTHER, 500) < 500);
    });
  }
});

// Guards against wrong estimates that are never noticed.
describe('the first event judges the estimate', () => {
  const cases = [
    { name: 'as fast as believed', tookMs: 2, wrong: 0, found: PROMPT_TOKENS },
    { name: 'all parts were read', tookMs: READ_MS + 2, wrong: 2, found: 0 },
    { name: 'delayed by something else', tookMs: 10 * READ_MS, wrong: 0, found: PROMPT_TOKENS },
  ];
  for (const { name, tookMs, wrong, found } of cases) {
    test(name, () => {
      const instance = new Instance();
      instance.send(candidate(OTHER), 0, READ_MS + 2);
      const reading = instance.send(candidate(OTHER), 500, tookMs);
      assert.ok(reading);
      assert.ok(reading.wrongParts >= wrong && (wrong > 0 || reading.wrongParts === 0));
      assert.equal(reading.foundTokens, found);
      const { foundTokens, copiedTokens, readTokens } = reading;
      assert.equal(foundTokens + copiedTokens + readTokens, PROMPT_TOKENS);
    });
  }

  test('wrong estimates shorten the time for which a part is believed to stay', () => {
    const instance = new Instance();
    const before = instance.costs.belief.lifetimeMs;
    for (let now = 0; now < 20_000; now += 1_000) instance.send(candidate(OTHER), now, READ_MS + 2);
    assert.ok(instance.costs.belief.lifetimeMs < before / 2);
  });
});

// Guards against copies that take longer than reading, or that move charged bytes between data centres.
describe('a copy', () => {
  const quick = { copiesPrompts: true, tokenBytes: 10_000, linkBytesPerMs: 10_000_000 };
  const cases = [
    { name: 'cheaper than reading', terms: quick, at: OTHER, copies: true },
    { name: 'slow link', terms: { ...quick, linkBytesPerMs: 100_000 }, at: OTHER, copies: false },
    {
      name: 'engines that cannot copy',
      terms: { ...quick, copiesPrompts: false },
      at: OTHER,
      copies: false,
    },
    { name: 'from another data centre', terms: quick, at: 'e7', copies: false },
  ];
  for (const { name, terms, at, copies } of cases) {
    test(name, () => {
      const instance = new Instance(terms);
      instance.send(candidate(at), 0, READ_MS);
      const target = candidate(
        ENGINES.find((id) => id !== at && id !== OWNER && id !== 'e7') ?? '',
      );
      const prompt = instance.costs.prepare({ parts: SESSION, promptTokens: PROMPT_TOKENS }, 500);
      const plan = instance.costs.plan(target, prompt, 500);
      assert.equal(plan.copyFrom, copies ? at : undefined);
      assert.equal(plan.cost.copyMs > 0, copies);
      // tokens that are copied are not read again, so they are not charged.
      assert.equal(plan.cost.chargedMs < 50, copies);
    });
  }

  test('is not made from a server that failed the request', () => {
    const instance = new Instance(quick);
    instance.send(candidate(OTHER), 0, READ_MS);
    const query = { parts: SESSION, promptTokens: PROMPT_TOKENS, tried: [OTHER] };
    const plan = instance.costs.plan(candidate('e0'), instance.costs.prepare(query, 500), 500);
    assert.notEqual(plan.copyFrom, OTHER);
  });
});

// Guards against a cached part that counts although a part before it does not, which the engine can't use.
describe('parts count only with all parts before them', () => {
  const [system, session] = SESSION as [PromptPart, PromptPart];
  const cases = [
    { name: 'the same beginning', read: [system, session], asked: [system, session], known: 2 },
    {
      name: 'another first part',
      read: [system, session],
      asked: [{ id: 'x', tokens: 1 }, session],
      known: 0,
    },
    {
      name: 'another second part',
      read: [system, session],
      asked: [system, { id: 'x', tokens: 1 }],
      known: 1,
    },
    { name: 'the order matters', read: [system, session], asked: [session, system], known: 0 },
  ];
  for (const { name, read, asked, known } of cases) {
    test(name, () => {
      const cache = new PromptCache();
      cache.record({ id: 'e0' }, chainKeys(read), 0);
      const ages = cache.ages({ id: 'e0' }, chainKeys(asked), 100);
      assert.equal(ages.filter((age) => age !== undefined).length, known);
    });
  }
});

// Guards against memory that grows with the number of prompts, engines or long ids.
test('the memory for estimates is bounded', () => {
  const cache = new PromptCache();
  for (let i = 0; i < 20_000; i += 1) {
    const keys = chainKeys([{ id: `${'x'.repeat(500)}${String(i)}`, tokens: 1 }]);
    assert.ok((keys[0]?.length ?? 0) < 80);
    cache.record({ id: `e${String(i)}` }, keys, i);
  }
  for (let i = 0; i < 100; i += 1) cache.record({ id: `e${String(i)}` }, ['one'], i);
  assert.ok(cache.size <= 4_096);
  assert.equal(cache.holders(['one']).length, 8);
});

// Guards against a few odd responses that make learned values useless.
describe('learned values stay within bounds', () => {
  test('reading speed', () => {
    const speed = new ReadingSpeed();
    for (let i = 0; i < 50; i += 1) speed.observe('e0', 6_000, 1e9);
    assert.ok(speed.ofServer('e0') >= 4);
    for (let i = 0; i < 100; i += 1) speed.observe('e0', 6_000, 1e-9);
    assert.ok(speed.ofServer('e0') <= 400);
  });

  test('waits never fall with the load', () => {
    const waits = new UsualWaits();
    for (let i = 0; i < 50; i += 1) waits.observe(0.3, 1e9);
    assert.ok(waits.at(0.9) >= waits.at(0.3) && waits.at(0.3) <= 10_000);
    assert.ok(Number.isFinite(waits.at(Number.NaN)));
  });

  test('how long parts stay', () => {
    const retention = new CacheRetention();
    for (let i = 0; i < 200; i += 1) retention.observe(10, false);
    assert.equal(retention.lifetimeMs, 2_000);
    for (let i = 0; i < 2_000; i += 1) retention.observe(1e9, true);
    assert.equal(retention.lifetimeMs, 120_000);
  });
});
