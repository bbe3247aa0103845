import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  auditEntries,
  checkAnswer,
  planLoad,
  runLoad,
  skewedWeights,
  type LoadOptions,
  type LoadResult,
  type MixItem,
} from '@flamingocourse/lab';
import { startFakeRouter, type FakeRouterOptions } from './fakeRouter.js';

const chat = (streamShare: number): MixItem => ({
  type: 'chat',
  workClass: 'stock-questions',
  model: 'm',
  weight: 1,
  naming: 'key',
  streamShare,
  maxTokens: 64,
  sharedPrefixWords: 4,
});

const entry: MixItem = {
  type: 'entry',
  workClass: 'reservations',
  service: 'shop-ledger',
  path: '/reservations',
  weight: 1,
  naming: 'key',
};

const LOAD = {
  accounts: [{ name: 'a-1', apiKey: 'k', weight: 1 }],
  ratePerSecond: 200,
  seconds: 0.2,
  seed: 5,
  slowReaderShare: 0,
  hangUpShare: 0,
} satisfies Partial<LoadOptions>;

async function loadFake(
  router: FakeRouterOptions,
  mix: MixItem[],
  options: Partial<LoadOptions> = {},
): Promise<{ result: LoadResult; keys: string[] }> {
  const fake = await startFakeRouter(router);
  const targets = [{ url: fake.url, weight: 1 }];
  const result = await runLoad({ ...LOAD, targets, mix, ...options });
  fake.close();
  return { result, keys: fake.keys };
}

// Guards against a check that accepts everything: it would hide every cut, repeat, gap and mixed
// answer of a router.
const verdictCases = [
  { received: 'a.0 b.1 c.2 d.3', verdict: 'whole' },
  { received: 'a.0 b.1', verdict: 'cut' },
  { received: '', verdict: 'cut' },
  { received: 'a.0 b.1 c', verdict: 'cut' },
  { received: 'a.0 b.1 b.1 c.2 d.3', verdict: 'repeat' },
  { received: 'a.0 c.2 d.3', verdict: 'gap' },
  { received: 'b.1 c.2 d.3', verdict: 'gap' },
  { received: 'a.0 c.2 b.1 d.3', verdict: 'reordered' },
  { received: 'a.0 b.1 x.2 d.3', verdict: 'mixed' },
  { received: 'a.0 b.1 c.2 d.3 x.4', verdict: 'mixed' },
  { received: 'a.0b.1 c.2 d.3', verdict: 'mixed' },
] as const;
for (const { received, verdict } of verdictCases) {
  test(`the answer "${received}" is judged ${verdict}`, () => {
    assert.equal(checkAnswer('a.0 b.1 c.2 d.3', received), verdict);
  });
}

// A router returns wrong answers as complete ones; the run must count each of them.
const tamperings: {
  name: string;
  tamper: (words: string[]) => string[];
  found: 'cut' | 'mixed';
}[] = [
  { name: 'cut', tamper: (words) => words.slice(0, -1), found: 'cut' },
  { name: 'repeat', tamper: (words) => words.flatMap((w, i) => (i ? [w] : [w, w])), found: 'cut' },
  { name: 'gap', tamper: (words) => words.filter((_, i) => i !== 2), found: 'cut' },
  { name: 'mixed', tamper: (words) => words.map((w, i) => (i ? w : 'x.0')), found: 'mixed' },
];
for (const { name, tamper, found } of tamperings) {
  for (const streamShare of [0, 1]) {
    test(`a ${name} answer is found, with ${streamShare ? 'streams' : 'whole bodies'}`, async () => {
      const { result } = await loadFake({ tamper }, [chat(streamShare)]);
      assert.ok(result.requests > 10);
      assert.equal(result[found], result.requests);
      assert.equal(result.whole, 0);
    });
  }
}

test('whole answers are counted with their latencies', async () => {
  const { result } = await loadFake({}, [chat(0.5), entry]);
  assert.equal(result.whole, result.requests);
  assert.deepEqual([result.cut, result.mixed, result.broken, result.unanswered], [0, 0, 0, 0]);
  const figures = result.classes['stock-questions'];
  assert.equal(figures?.fullMs.count, figures?.whole);
  assert.ok((figures?.firstTokenMs.p50 ?? 0) > 0);
  assert.ok(Object.values(result.entries).every((outcome) => outcome === 'entered'));
});

test('a caller waits for Retry-After and retries with the same key', async () => {
  const refusal = { reason: 'overloaded', run: 'not-run', retryAfterMs: 20 };
  const { result, keys } = await loadFake({ refusals: [refusal] }, [entry]);
  assert.equal(result.retries, 1);
  assert.equal(result.whole, result.requests);
  assert.equal(keys.length, new Set(keys).size + 1);
});

// A stream without its final event is not an answer; the caller retries.
const brokenEnds = [
  { end: 'break', broken: (result: LoadResult) => result.requests * 2, unanswered: true },
  { end: 'error-event', broken: () => 0, unanswered: false },
] as const;
for (const { end, broken, unanswered } of brokenEnds) {
  test(`streams that end with ${end} are no whole answers`, async () => {
    const { result } = await loadFake({ end }, [chat(1)], { maxAttempts: 2 });
    assert.equal(result.whole, 0);
    assert.equal(result.broken, broken(result));
    assert.equal(result.unanswered, unanswered ? result.requests : 0);
    assert.equal(result.refusals['backend-failed'] ?? 0, unanswered ? 0 : result.requests);
  });
}

test('a plan follows its seed, its bounds and its weights', () => {
  const weights = skewedWeights(4);
  const accounts = weights.map((weight, i) => ({ name: `a-${i}`, apiKey: 'k', weight }));
  const options = { ...LOAD, accounts, targets: [{ url: 'u', weight: 1 }], mix: [chat(1)] };
  const plan = planLoad({ ...options, seconds: 10 });
  assert.deepEqual(plan, planLoad({ ...options, seconds: 10 }));
  assert.notDeepEqual(plan, planLoad({ ...options, seconds: 10, seed: 6 }));
  assert.ok(plan.every((request) => request.atMs < 10_000));
  const largest = plan.filter((request) => request.account.name === 'a-0').length / plan.length;
  assert.ok(Math.abs(largest - 1 / 2.083) < 0.05, `share of the largest account: ${largest}`);
});

// Guards against an audit that misses an entry made twice, lost after its confirmation, or made
// although the caller got the answer that it did not run.
test('the audit finds doubled, lost and falsely refused entries', () => {
  const outcomes = { twice: 'entered', gone: 'entered', ran: 'not-run', fine: 'unknown' } as const;
  const runs = ['twice', 'twice', 'ran'].map((callerKey) => ({ callerKey }));
  assert.deepEqual(auditEntries(outcomes, runs), {
    doubled: ['twice'],
    lost: ['gone'],
    falselyNotRun: ['ran'],
  });
});
