import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { RoutingPolicy, RoutingScenario } from '@flamingocourse/lab';
import {
  chosenPolicy,
  naivePolicy,
  routingScenarios,
  runRoutingExperiment,
} from '@flamingocourse/lab';

const capacityPerSecond = 21;

function run(policy: RoutingPolicy, scenario: RoutingScenario) {
  return runRoutingExperiment({ seed: 4, policy, scenario, capacityPerSecond, seconds: 30 });
}

describe('every request ends once, answered or refused', () => {
  for (const scenario of routingScenarios) {
    test(scenario.name, () => {
      for (const result of run(chosenPolicy, scenario).classes) {
        const refused = Object.values(result.refusals).reduce((sum, count) => sum + count, 0);
        assert.equal(result.answered + refused, result.offered);
      }
    });
  }
});

test('the same seed gives the same result', () => {
  const scenario = { name: 'load 1.0', load: 1, fault: 'none' } as const;
  assert.deepEqual(run(chosenPolicy, scenario), run(chosenPolicy, scenario));
});

// Guards against requests of the first class that fail under overload although the servers could
// answer all of them: they wait behind longer and less important requests.
test('under overload the first class is served far better than by the baseline', () => {
  const scenario = { name: 'load 1.5', load: 1.5, fault: 'none' } as const;
  const [chosen] = run(chosenPolicy, scenario).classes;
  const [naive] = run(naivePolicy, scenario).classes;
  assert.ok(chosen && naive);
  assert.ok(chosen.answered / chosen.offered > 0.98);
  assert.ok(chosen.targetMet > naive.targetMet + 0.3);
});
