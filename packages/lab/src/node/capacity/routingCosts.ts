/** Measures the processor time of a placement and of the admission queue with the real code. */

import type { BackendServer, QueueEntry } from '@flamingocourse/core';
import type { CostLine, CostPoint } from './types.js';
import {
  AdmissionQueue,
  chooseServer,
  createServerChooser,
  ServerPool,
} from '@flamingocourse/core';
import { createRandom } from '../../runtime/random.js';
import { fitCostLine } from './costLine.js';
import { cpuMsPerCall } from './cpuTime.js';

const POOL_SIZES = [10, 100, 300, 1_000];
const QUEUE_LENGTHS = [16, 64, 256, 1_024];
const PLACES_PER_SERVER = 8;
const CENTRES = 4;
const NOW = 1_790_000_000_000;
const DEADLINE_MS = 60_000;
const IMPORTANCES = ['first', 'standard', 'background'] as const;

/** Measures placements and queue steps. */
export function measureDecisions(seed: number): CostLine[] {
  const placements = POOL_SIZES.map((servers): CostPoint => {
    return { at: { servers }, cost: measurePlacement(servers, seed) };
  });
  const queueSteps = QUEUE_LENGTHS.map((length): CostPoint => {
    return { at: { length }, cost: measureQueueStep(length) };
  });
  return [
    fitCostLine({
      name: 'pool.placement',
      unit: 'CPU ms',
      drivers: ['servers'],
      points: placements,
    }),
    fitCostLine({
      name: 'queue.step',
      unit: 'CPU ms',
      drivers: ['length'],
      points: queueSteps,
    }),
  ];
}

/** Work for one request: check for capacity, choice of a server, dispatch and completion. */
function measurePlacement(count: number, seed: number): number {
  const pool = new ServerPool({ dataCentre: 'dc-0', concurrencyPerServer: PLACES_PER_SERVER });
  const servers = Array.from({ length: count }, (_, i) => createServer(i));
  pool.applyList(servers, NOW);
  const chooser = createServerChooser('prefix-affinity');
  const random = createRandom(seed);
  return cpuMsPerCall(() => {
    pool.hasRoom({ keptFree: 0, extra: 0 }, NOW);
    const prefixHash = random.int(0, 1_000);
    const chosen = chooseServer(pool, chooser, { prefixHash }, {}, NOW, () => random.fraction());
    if (!chosen) return;
    const attempt = pool.dispatch(chosen.id, NOW);
    pool.settle(attempt, { end: 'ok', firstTokenMs: 100, targetMs: 780 }, NOW);
  });
}

/** One request enters the queue and one leaves it, while `length` requests wait. */
function measureQueueStep(length: number): number {
  const queue = new AdmissionQueue({ maxSize: length * 2 });
  let next = 0;
  const offer = (): void => {
    queue.offer(createEntry(next), NOW + next);
    next += 1;
  };
  while (queue.size < length) offer();
  return cpuMsPerCall(() => {
    offer();
    queue.take(NOW + next);
  });
}

function createServer(index: number): BackendServer {
  return {
    service: 'deel-llm',
    id: `deel-llm-${index}`,
    dataCentre: `dc-${index % CENTRES}`,
    url: `http://10.0.${Math.floor(index / 250)}.${index % 250}:9000`,
    state: 'live',
  };
}

function createEntry(id: number): QueueEntry {
  const importance = IMPORTANCES[id % IMPORTANCES.length] ?? 'standard';
  return { id, importance, deadline: NOW + id + DEADLINE_MS };
}
