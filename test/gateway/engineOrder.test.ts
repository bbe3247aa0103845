import type { Importance } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { EngineOrder } from '@flamingocourse/gateway';
import { createRandom } from '../routing/fixtures/seededRandom.js';

const classes: readonly Importance[] = ['first', 'standard', 'background'];
type Rates = Record<Importance, number>;

/** Requests that the engines serve in a second; demand is given as a multiple of it. */
const CAPACITY = 100;
const SECONDS = 300;
/** Milliseconds after which the most patient caller no longer waits. */
const TIME_LIMIT_MS = 4_000;

interface Waiting {
  importance: Importance;
  place: number;
  at: number;
  until: number;
}

function isBefore(a: Waiting, b: Waiting): boolean {
  return a.place < b.place || (a.place === b.place && a.at < b.at);
}

/** Fraction of each class that engines serve when they take the lowest place first. */
function servedOf(demand: Rates, prompts: Rates, instances: number, seed: number): Rates {
  const random = createRandom(seed);
  const orders = Array.from({ length: instances }, () => new EngineOrder());
  const sent: Rates = { first: 0, standard: 0, background: 0 };
  const served: Rates = { first: 0, standard: 0, background: 0 };
  let queue: Waiting[] = [];
  const stepMs = 1_000 / CAPACITY;
  for (let at = 0; at < SECONDS * 1_000; at += stepMs) {
    for (const importance of classes) {
      const arrivals = Math.floor(demand[importance] + random());
      for (let count = 0; count < arrivals; count += 1) {
        const order = orders[Math.floor(random() * instances)];
        assert.ok(order);
        sent[importance] += 1;
        const place = order.next(importance, prompts[importance]);
        queue.push({ importance, place, at, until: at + random() * TIME_LIMIT_MS });
      }
    }
    queue = queue.filter((each) => at <= each.until);
    if (queue.length === 0) continue;
    const next = queue.reduce((best, each) => (isBefore(each, best) ? each : best));
    served[next.importance] += 1;
    queue.splice(queue.indexOf(next), 1);
  }
  const rate = (importance: Importance): number => served[importance] / sent[importance];
  return { first: rate('first'), standard: rate('standard'), background: rate('background') };
}

/** Prompt tokens of the kinds: the most urgent are the shortest, or the longest. */
const chatFirst: Rates = { first: 600, standard: 1_500, background: 9_000 };
const dossierFirst: Rates = { first: 9_000, standard: 600, background: 1_500 };

const loads: { name: string; demand: Rates }[] = [
  { name: 'room for all', demand: { first: 0.3, standard: 0.3, background: 0.3 } },
  { name: 'a little too much', demand: { first: 0.4, standard: 0.4, background: 0.3 } },
  { name: 'the most urgent fill it', demand: { first: 1, standard: 0.5, background: 0.5 } },
  { name: 'the most urgent exceed it', demand: { first: 2, standard: 0.5, background: 0.5 } },
  { name: 'two classes exceed it', demand: { first: 0.6, standard: 1, background: 0.1 } },
  { name: 'few of the least urgent', demand: { first: 1, standard: 1, background: 0.04 } },
  { name: 'few of the second class', demand: { first: 1.5, standard: 0.04, background: 1 } },
  { name: 'none of the second class', demand: { first: 1.5, standard: 0, background: 1 } },
  { name: 'mostly the least urgent', demand: { first: 0.2, standard: 0.2, background: 2 } },
];

describe('the order at engines', () => {
  for (const { name, demand } of loads) {
    for (const prompts of [chatFirst, dossierFirst]) {
      for (const instances of [1, 17]) {
        const title = `${name}, ${String(prompts.first)} tokens first, ${String(instances)} instances`;
        const served = servedOf(demand, prompts, instances, 7);
        const demanded = classes.filter((importance) => demand[importance] > 0);

        // Guards against a kind that is served worst although it is the most urgent one, because its
        // prompts are the longest.
        test(`${title}: serves no less urgent class more often`, () => {
          for (const [index, less] of demanded.entries()) {
            for (const more of demanded.slice(0, index)) {
              const rates = `${less} ${served[less].toFixed(3)}, ${more} ${served[more].toFixed(3)}`;
              assert.ok(served[less] <= served[more] + 0.05, rates);
            }
          }
        });

        // Guards against less urgent requests that wait without end while the more urgent exceed the
        // capacity. A class that is as often served as the one above it can't have more.
        test(`${title}: keeps the minimum shares`, () => {
          const shares = { standard: 0.1, background: 0.05 };
          const above = { standard: 'first', background: 'standard' } as const;
          for (const importance of ['standard', 'background'] as const) {
            if (demand[importance] === 0) continue;
            const part = served[importance] * demand[importance];
            const other = demand[above[importance]] > 0 ? above[importance] : 'first';
            const isAsOften = served[importance] >= served[other] - 0.05;
            const rates = `${importance} has ${part.toFixed(3)} of all`;
            assert.ok(part >= 0.9 * shares[importance] || isAsOften, rates);
          }
        });
      }
    }
  }
});

describe('places', () => {
  const cases: { importance: Importance; prompt: number; expected: number }[] = [
    { importance: 'first', prompt: 600, expected: 0 },
    { importance: 'first', prompt: 1_001, expected: 1 },
    { importance: 'first', prompt: 12_000, expected: 2 },
    { importance: 'standard', prompt: 600, expected: 3 },
    { importance: 'background', prompt: 40_000, expected: 8 },
  ];
  for (const { importance, prompt, expected } of cases) {
    // Guards against a short prompt of no urgency that goes before an urgent long one.
    test(`${importance} with ${String(prompt)} tokens gets ${String(expected)}`, () => {
      assert.equal(new EngineOrder().next(importance, prompt), expected);
    });
  }
});
