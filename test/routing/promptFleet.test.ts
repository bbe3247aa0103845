import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { Placer } from './fixtures/promptFleet.js';
import {
  CheapestChooser,
  PrefixAffinityChooser,
  PromptPlacement,
  QuickEngineChooser,
} from '@flamingocourse/core';
import { simulatePromptFleet } from './fixtures/promptFleet.js';

function byOwner(): Placer {
  return { chooser: new QuickEngineChooser(new PrefixAffinityChooser(1.5)) };
}

function byCost(): Placer {
  const server = (id: string): { id: string; dataCentre: string } => ({ id, dataCentre: 'dc-a' });
  const terms = { copiesPrompts: false, memoryTokens: 150_000 };
  const costs = new PromptPlacement({ server, canCopyFrom: () => true }, () => terms);
  return { costs, chooser: new CheapestChooser(costs, byOwner().chooser) };
}

// Guards against a choice by cost that makes responses later, or has more prompts read again, than the
// choice by owner. The engines can just read 140 requests a second.
describe('sessions, reports and questions at engines of uneven speed', () => {
  const cases = [
    { load: 'low', perSecond: 20 },
    { load: 'medium', perSecond: 80 },
    { load: 'high', perSecond: 140 },
  ];
  for (const { load, perSecond } of cases) {
    for (const seed of [1, 2, 3]) {
      test(`${load} load, seed ${String(seed)}`, (t) => {
        const options = { perSecond, requests: 3_000, seed };
        const owner = simulatePromptFleet(byOwner, options);
        const cost = simulatePromptFleet(byCost, options);
        t.diagnostic(`${JSON.stringify(owner)} by owner, ${JSON.stringify(cost)} by cost`);
        assert.ok(cost.meanFirstMs <= owner.meanFirstMs, 'time to the first event');
        assert.ok(cost.tokensReadAgain <= owner.tokensReadAgain, 'tokens read again');
        assert.ok(cost.shareInTime >= owner.shareInTime, 'share in time');
      });
    }
  }
});
