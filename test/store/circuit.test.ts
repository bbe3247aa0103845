import type { CircuitState } from '@flamingocourse/store';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { admitCall, backOffMs, createCircuit, recordOutcome } from '@flamingocourse/store';

const options = { failureLimit: 2, pauseMs: 100, maxPauseMs: 300 };

type Step = ['call', boolean] | ['failed'] | ['answered'];

const cases: { name: string; steps: [now: number, ...Step][]; phase: CircuitState['phase'] }[] = [
  {
    name: 'an answer resets the count of failures, so that isolated failures do not open it',
    steps: [
      [0, 'failed'],
      [0, 'answered'],
      [0, 'failed'],
      [0, 'call', true],
    ],
    phase: 'closed',
  },
  {
    name: 'it opens at the limit, and failures while open do not extend the pause',
    steps: [
      [0, 'failed'],
      [0, 'failed'],
      [50, 'failed'],
      [99, 'call', false],
      [100, 'call', true],
    ],
    phase: 'half-open',
  },
  {
    name: 'one probe at a time; a failed probe doubles the pause',
    steps: [
      [0, 'failed'],
      [0, 'failed'],
      [100, 'call', true],
      [100, 'call', false],
      [150, 'failed'],
      [349, 'call', false],
      [350, 'call', true],
      [360, 'answered'],
      [360, 'call', true],
    ],
    phase: 'closed',
  },
];

for (const { name, steps, phase } of cases) {
  test(`circuit: ${name}`, () => {
    let circuit = createCircuit();
    for (const [now, type, expected] of steps) {
      if (type === 'call') {
        const { state, admitted } = admitCall(circuit, now);
        assert.equal(admitted, expected, `call at ${String(now)}`);
        circuit = state;
      } else {
        circuit = recordOutcome(circuit, type, now, options);
      }
    }
    assert.equal(circuit.phase, phase);
  });
}

const backOffs = [
  { failures: 0, random: 0, ms: 50 },
  { failures: 0, random: 1, ms: 100 },
  { failures: 2, random: 0.5, ms: 300 },
  { failures: 500, random: 1, ms: 1_000 },
];

for (const { failures, random, ms } of backOffs) {
  test(`back-off after ${String(failures)} failures with jitter ${String(random)}`, () => {
    assert.equal(
      backOffMs(failures, { firstMs: 100, maxMs: 1_000 }, () => random),
      ms,
    );
  });
}
