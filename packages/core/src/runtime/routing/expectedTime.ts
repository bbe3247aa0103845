/** Expected time until a request is answered that is sent to a server now. */

import type { UncertainCount } from './otherLoad.js';

/** What the expected time at one server depends on. */
export interface ExpectedTimeInputs {
  /** Own requests in flight there. */
  own: number;
  /** Requests of other instances there. */
  others: UncertainCount;
  /** Requests that the server runs at once. */
  slots: number;
  /** Time of a request there at its present speed, without waiting, in milliseconds. */
  requestMs: number;
}

/**
 * Expected milliseconds until a request is answered that is sent now.
 *
 * @example
 * expectedTime({ own: 2, others: { mean: 0, variance: 0 }, slots: 2, requestMs: 100 }); // 150
 */
export function expectedTime({ requestMs, ...queue }: ExpectedTimeInputs): number {
  return requestMs * queueFactor(queue);
}

/**
 * Expected time as a multiple of a request's own work: 1 at a server with free slots, more by
 * 1 / slots for each request that must end first.
 */
export function queueFactor({
  own,
  others,
  slots,
}: Pick<ExpectedTimeInputs, 'own' | 'others' | 'slots'>): number {
  const beyond = own + others.mean + 1 - slots;
  return 1 + expectedExcess(beyond, Math.sqrt(others.variance)) / slots;
}

/** Mean of the positive part of a normally distributed number. */
function expectedExcess(mean: number, deviation: number): number {
  if (deviation <= 0) return Math.max(0, mean);
  const z = mean / deviation;
  return Math.max(0, mean * normalFraction(z) + deviation * normalDensity(z));
}

function normalDensity(z: number): number {
  return Math.exp((-z * z) / 2) / Math.sqrt(2 * Math.PI);
}

/** Probability that a standard normal number is below `z`; logistic approximation within 0.01. */
function normalFraction(z: number): number {
  return 1 / (1 + Math.exp(-1.702 * z));
}
