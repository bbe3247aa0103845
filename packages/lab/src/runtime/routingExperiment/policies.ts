/** Scenarios, and policies that differ from the production policy in a single decision. */

import type { RoutingPolicy, RoutingScenario } from './types.js';
import { naivePolicy } from './measureCapacity.js';

/** The policy of the router in production. */
export const chosenPolicy: RoutingPolicy = {
  name: 'chosen',
  chooser: 'prefix-affinity',
  discipline: 'importance-deadline',
  limit: 'aimd',
  refuseUnreachable: true,
  ejection: true,
  slowEjection: false,
  fairPart: true,
  reserve: true,
};

/** The chosen policy, variants of it with one simpler decision each, and the baseline. */
export const routingPolicies: readonly RoutingPolicy[] = [
  chosenPolicy,
  { ...chosenPolicy, name: 'chooser: power-of-two', chooser: 'power-of-two' },
  { ...chosenPolicy, name: 'chooser: least-loaded', chooser: 'least-loaded' },
  { ...chosenPolicy, name: 'chooser: random', chooser: 'random' },
  { ...chosenPolicy, name: 'queue: fifo', discipline: 'fifo' },
  { ...chosenPolicy, name: 'limit: fixed', limit: 'fixed' },
  { ...chosenPolicy, name: 'keep hopeless', refuseUnreachable: false },
  { ...chosenPolicy, name: 'slow ejection', slowEjection: true },
  { ...chosenPolicy, name: 'no ejection', ejection: false },
  { ...chosenPolicy, name: 'no fair part', fairPart: false },
  { ...chosenPolicy, name: 'no reserve', reserve: false },
  naivePolicy,
];

/** Combinations of load and fault that are measured. */
export const routingScenarios: readonly RoutingScenario[] = [
  { name: 'load 0.7', load: 0.7, fault: 'none' },
  { name: 'load 1.0', load: 1, fault: 'none' },
  { name: 'load 1.5', load: 1.5, fault: 'none' },
  { name: 'declared limit 4 times too high', load: 1, fault: 'none', declaredConcurrency: 32 },
  {
    name: 'declared limit beyond memory',
    load: 1,
    fault: 'none',
    declaredConcurrency: 32,
    batchSlots: 32,
  },
  { name: 'slow server', load: 0.7, fault: 'slow-server' },
  { name: 'crashed server', load: 0.7, fault: 'crashed-server' },
  { name: 'cut data centre', load: 0.7, fault: 'cut-data-centre' },
];
