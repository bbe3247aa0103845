import type { ChargedRequest, UnansweredPolicy } from '@flamingocourse/gateway';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { chargeOf } from '@flamingocourse/gateway';

// Guards against accounts refused for prompts of requests that delivered nothing.
describe('the charge of a request', () => {
  const stream: ChargedRequest = {
    prompt: 900,
    most: 80,
    mayHaveRun: 1,
    answered: true,
    events: 10,
    tokensPerEvent: 3,
  };
  const cases: {
    name: string;
    change?: Partial<ChargedRequest>;
    unanswered?: UnansweredPolicy;
    charge: number;
  }[] = [
    { name: 'a stream', charge: 930 },
    { name: 'a stream on a second server', change: { mayHaveRun: 2 }, charge: 930 },
    { name: 'a stream that broke off', change: { answered: false }, charge: 930 },
    { name: 'more events than tokens allowed', change: { events: 90 }, charge: 980 },
    { name: 'a whole answer counts in full', change: { events: undefined }, charge: 980 },
    { name: 'nothing that ran', change: { mayHaveRun: 0, answered: false, events: 0 }, charge: 0 },
    { name: 'nothing passed on', change: { answered: false, events: 0 }, charge: 0 },
    {
      name: 'nothing passed on, by the other policy',
      change: { answered: false, events: 0 },
      unanswered: 'charged',
      charge: 900,
    },
    {
      name: 'a failed whole answer',
      change: { answered: false, events: undefined },
      charge: 0,
    },
  ];
  for (const { name, change = {}, unanswered = 'free', charge } of cases) {
    test(`${name}: ${String(charge)}`, () => {
      assert.equal(chargeOf({ ...stream, ...change }, unanswered), charge);
    });
  }
});
