/** Measures how many requests per second the servers of the experiment can answer. */

import type { RoutingPolicy, RoutingScenario } from './types.js';
import { runRoutingExperiment } from './runRoutingExperiment.js';

/** Baseline with the simplest option for every decision. */
export const naivePolicy: RoutingPolicy = {
  name: 'naive',
  chooser: 'round-robin',
  discipline: 'fifo',
  limit: 'fixed',
  refuseUnreachable: false,
  ejection: false,
  slowEjection: false,
  fairPart: false,
  reserve: false,
};

const SATURATING_RATE = 400;
const saturation: RoutingScenario = { name: 'saturation', load: 1, fault: 'none' };

/**
 * Measures the capacity in requests per second: the output tokens per second under saturation,
 * divided by the mean output of a request.
 *
 * @example
 * const capacityPerSecond = measureCapacity(1);
 */
export function measureCapacity(seed: number): number {
  const policy: RoutingPolicy = { ...naivePolicy, chooser: 'power-of-two', fairPart: true };
  const options = { seed, policy, scenario: saturation, capacityPerSecond: SATURATING_RATE };
  const { producedTokensPerSecond } = runRoutingExperiment({ ...options, seconds: 30 });
  return producedTokensPerSecond / MEAN_OUTPUT_TOKENS;
}

/** Mean output tokens of a request over the experiment's classes: 0.25 * 40 + 0.5 * 100 + 0.25 * 275. */
const MEAN_OUTPUT_TOKENS = 128.75;
