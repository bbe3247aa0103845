/** Promise 6: servers that leave by the list, by their own word and by an operator's order. */

import type { EngineStandIn } from '../engineStandIn/index.js';
import type { PhaseFigures, PhaseSite } from './loadPhase.js';
import type { ProveStage } from './proveStage.js';
import { setTimeout as delay } from 'node:timers/promises';
import { runLoad } from '../loadGenerator/index.js';
import { MODEL_SERVICE, proveAccounts, proveMix } from './proveDeclarations.js';

/** Time after which a leaving server may get no new work. */
const GRACE_MS = 3_000;
/** Time over which it is then watched. */
const WATCH_MS = 3_000;
const LOAD_SECONDS = 8;
const RATE_PER_SECOND = 40;

/** How a server leaves, and how many requests have reached it. */
interface Leaving {
  name: string;
  engine: number;
  leave: (stage: ProveStage) => Promise<unknown> | undefined;
  undo: (stage: ProveStage) => Promise<unknown> | undefined;
  count: (engine: EngineStandIn) => number;
}

const leavings: Leaving[] = [
  {
    name: 'instance list says leaving, 1 s late',
    engine: 0,
    leave: (stage) => {
      listAs(stage, 0, 'leaving');
    },
    undo: (stage) => {
      listAs(stage, 0, 'live');
    },
    count: (engine) => engine.counters.requests,
  },
  {
    name: 'server says leaving, list says live',
    engine: 1,
    leave: (stage) => {
      stage.backends.engines[1]?.setFaults({ leaving: true });
    },
    undo: (stage) => {
      stage.backends.engines[1]?.setFaults({ leaving: false });
    },
    count: (engine) => engine.counters.whileLeaving,
  },
  {
    name: 'operator drains, list says live',
    engine: 2,
    leave: (stage) => stage.operate('drain', MODEL_SERVICE, `${MODEL_SERVICE}-3`),
    undo: (stage) => stage.operate('drain', MODEL_SERVICE, `${MODEL_SERVICE}-3`, '--undo'),
    count: (engine) => engine.counters.requests,
  },
];

/** Lets three servers leave at once under load. */
export async function runLeavingPhase(site: PhaseSite): Promise<Partial<PhaseFigures>> {
  const { stage, findings, seed } = site;
  site.onProgress('phase leaving: three servers leave in three ways');
  const before = leavings.map(({ engine }) => stage.backends.engines[engine]?.counters.requests);
  const load = runLoad({
    targets: stage.fleet.entryUrls.map((url) => ({ url, weight: 1 })),
    accounts: proveAccounts.filter((account) => account.name === 'wide'),
    mix: proveMix.filter((item) => item.type === 'chat'),
    ratePerSecond: RATE_PER_SECOND,
    seconds: LOAD_SECONDS,
    seed,
  });
  await delay(1_000);
  for (const [index, { engine }] of leavings.entries()) {
    const now = stage.backends.engines[engine]?.counters.requests;
    const checks = (now ?? 0) > (before[index] ?? 0) ? 1 : 0;
    // a server that got no work before it left would prove nothing.
    findings.add(6, { checks });
  }
  await Promise.all(leavings.map(async ({ leave }) => leave(stage)));
  await delay(GRACE_MS);
  const atGrace = leavings.map((leaving) => countAt(stage, leaving));
  await delay(WATCH_MS);
  for (const [index, leaving] of leavings.entries()) {
    const late = countAt(stage, leaving) - (atGrace[index] ?? 0);
    const text = `${leaving.name}: ${late} requests came later than ${GRACE_MS} ms`;
    const violations = late > 0 ? [text] : [];
    findings.add(6, { faults: [leaving.name], checks: 1, violations });
  }
  await Promise.all(leavings.map(async ({ undo }) => undo(stage)));
  const { requests, whole, broken, unanswered, retries, refusals } = await load;
  return {
    phase: 'leaving',
    load: { requests, whole, broken, unanswered, retries, refusals },
  };
}

function countAt(stage: ProveStage, { engine, count }: Leaving): number {
  const standIn = stage.backends.engines[engine];
  return standIn ? count(standIn) : 0;
}

function listAs(stage: ProveStage, index: number, state: 'live' | 'leaving'): undefined {
  const items = stage.backends.instances.get(MODEL_SERVICE) ?? [];
  const changed = items.map((item, place) => (place === index ? { ...item, state } : item));
  stage.platform.setInstances(MODEL_SERVICE, changed);
}
