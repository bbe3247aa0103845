import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { BackendServer } from '@flamingocourse/core';
import {
  PrefixAffinityChooser,
  PromptLocations,
  ServerPool,
  chooseServer,
  hash32,
} from '@flamingocourse/core';
import { createRandom } from './fixtures/seededRandom.js';

const SERVERS = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
const INSTANCES = 7;
const SESSIONS = 140;
/** Tokens that the requests of a session share, according to the third customer. */
const SESSION_TOKENS = 6_300;
/** Number of report requests: 55 s at 11.6 per second. */
const REPORTS = 640;

function server(id: string): BackendServer {
  return { service: 'llm', id, dataCentre: 'dc-a', url: `http://${id}`, state: 'live' };
}

class Instance {
  readonly pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer: 128 });
  readonly locations = new PromptLocations();
  readonly #chooser = new PrefixAffinityChooser(1.5);
  #inFlight: { attempt: number; until: number }[] = [];

  constructor() {
    this.pool.applyList(SERVERS.map(server), 0);
  }

  place(prefixHash: number, now: number, random: () => number): string {
    for (const { attempt } of this.#inFlight.filter(({ until }) => until <= now)) {
      this.pool.settle(attempt, { end: 'ok' }, now);
    }
    this.#inFlight = this.#inFlight.filter(({ until }) => until > now);
    const query = { scope: 'everywhere' } as const;
    const chosen = chooseServer(this.pool, this.#chooser, { prefixHash }, query, now, random);
    assert.ok(chosen);
    // note requests in flight: by chance some servers are busier than others, which diverts
    // reports.
    const until = now + 4_000 * random();
    this.#inFlight.push({ attempt: this.pool.dispatch(chosen.id, now), until });
    return chosen.id;
  }
}

/** Number of tokens that are processed again although another server has them cached. */
function countTokensProcessedAgain(seed: number, copies: boolean): number {
  const random = createRandom(seed);
  const instances = Array.from({ length: INSTANCES }, () => new Instance());
  const read = new Map<string, Set<string>>();
  let again = 0;
  for (let i = 0; i < REPORTS; i += 1) {
    const now = i * 86;
    const session = `session-${String(Math.floor(random() * SESSIONS))}`;
    const instance = instances[Math.floor(random() * INSTANCES)];
    assert.ok(instance);
    for (let note = 0; note < 3; note += 1)
      instance.place(hash32(`note-${String(random())}`), now, random);
    const id = instance.place(hash32(session), now, random);
    const holders = read.get(session) ?? new Set<string>();
    const known = instance.locations.find(session);
    const except = new Set([id]);
    const source = known ?? instance.pool.likelyPromptServer(hash32(session), except, now)?.id;
    const copied = copies && source !== undefined && holders.has(source);
    if (holders.size > 0 && !holders.has(id) && !copied) again += SESSION_TOKENS;
    instance.locations.record(session, id);
    read.set(session, holders.add(id));
  }
  return again;
}

// Guards against processing a prompt again that another engine has cached: all streams on the same
// engine pause meanwhile.
describe('a prompt cached at another server is copied from there', () => {
  for (const seed of [1, 2, 3]) {
    test(`less than half is processed again, seed ${String(seed)}`, () => {
      const before = countTokensProcessedAgain(seed, false);
      const after = countTokensProcessedAgain(seed, true);
      assert.ok(before > 20 * SESSION_TOKENS, `${String(before)} tokens`);
      assert.ok(after < before / 2, `${String(after)} of ${String(before)} tokens`);
    });
  }
});

describe('source of a copy', () => {
  const pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer: 8 });
  pool.applyList(SERVERS.map(server), 0);
  const first = pool.likelyPromptServer(hash32('p'), new Set(), 0)?.id ?? '';

  test('is not an excluded server', () => {
    const second = pool.likelyPromptServer(hash32('p'), new Set([first]), 0)?.id;
    assert.ok(second !== undefined && second !== first);
  });

  test('is not an unreachable or leaving server', () => {
    const attempt = pool.dispatch(first, 0);
    pool.recordUnreachable(attempt, 0);
    const second = pool.likelyPromptServer(hash32('p'), new Set(), 0)?.id ?? '';
    assert.notEqual(second, first);
    pool.markLeaving(second);
    assert.notEqual(pool.likelyPromptServer(hash32('p'), new Set(), 0)?.id, second);
  });

  test('is undefined if there is no other server', () => {
    assert.equal(pool.likelyPromptServer(hash32('p'), new Set(SERVERS), 0), undefined);
  });
});
