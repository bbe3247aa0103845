/** Promise 6: servers leave by instance list, by health check, and by drain command. */

import type { EngineStandIn } from '../engineStandIn/index.js';
import type { PhaseFigures, PhaseContext } from './loadPhase.js';
import type { ProveStage } from './proveStage.js';
import { setTimeout as delay } from 'node:timers/promises';
import { runLoad } from '../loadGenerator/index.js';
import { MODEL_SERVICE, proveAccounts, proveMix } from './proveDeclarations.js';

/** Time after which a leaving server must not get new work. */
const GRACE_MS = 3_000;
/** Time during which its requests are then counted. */
const WATCH_MS = 3_000;
const LOAD_SECONDS = 8;
const RATE_PER_SECOND = 40;

/** One way in which a server leaves, and the counter of requests that reach it. */
interface LeavingCase {
  name: string;
  engine: number;
  leave: (stage: ProveStage) => Promise<unknown> | undefined;
  undo: (stage: ProveStage) => Promise<unknown> | undefined;
  count: (engine: EngineStandIn) => number;
}

const leavingCases: LeavingCase[] = [
  {
    name: 'instance list says leaving, 1 s late',
    engine: 0,
    leave: (stage) => {
      setListedState(stage, 0, 'leaving');
    },
    undo: (stage) => {
      setListedState(stage, 0, 'live');
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

/** Makes three servers leave at the same time under load. */
export async function runLeavingPhase(context: PhaseContext): Promise<Partial<PhaseFigures>> {
  const { stage, findings, seed } = context;
  context.onProgress('phase leaving: three servers leave in three ways');
  const before = leavingCases.map(
    ({ engine }) => stage.backends.engines[engine]?.counters.requests,
  );
  const load = runLoad({
    targets: stage.fleet.entryUrls.map((url) => ({ url, weight: 1 })),
    accounts: proveAccounts.filter((account) => account.name === 'wide'),
    mix: proveMix.filter((item) => item.type === 'chat'),
    ratePerSecond: RATE_PER_SECOND,
    seconds: LOAD_SECONDS,
    seed,
  });
  await delay(1_000);
  for (const [index, { engine }] of leavingCases.entries()) {
    const now = stage.backends.engines[engine]?.counters.requests;
    const checks = (now ?? 0) > (before[index] ?? 0) ? 1 : 0;
    // the check proves nothing for a server that got no work before it left.
    findings.add(6, { checks });
  }
  await Promise.all(leavingCases.map(async ({ leave }) => leave(stage)));
  await delay(GRACE_MS);
  const countsAfterGrace = leavingCases.map((leaving) => countRequests(stage, leaving));
  await delay(WATCH_MS);
  for (const [index, leaving] of leavingCases.entries()) {
    const late = countRequests(stage, leaving) - (countsAfterGrace[index] ?? 0);
    const text = `${leaving.name}: ${late} requests came later than ${GRACE_MS} ms`;
    const violations = late > 0 ? [text] : [];
    findings.add(6, { faults: [leaving.name], checks: 1, violations });
  }
  await Promise.all(leavingCases.map(async ({ undo }) => undo(stage)));
  const { requests, whole, broken, unanswered, retries, refusals } = await load;
  return {
    phase: 'leaving',
    load: { requests, whole, broken, unanswered, retries, refusals },
  };
}

function countRequests(stage: ProveStage, { engine, count }: LeavingCase): number {
  const standIn = stage.backends.engines[engine];
  return standIn ? count(standIn) : 0;
}

function setListedState(stage: ProveStage, index: number, state: 'live' | 'leaving'): undefined {
  const items = stage.backends.instances.get(MODEL_SERVICE) ?? [];
  const changed = items.map((item, place) => (place === index ? { ...item, state } : item));
  stage.platform.setInstances(MODEL_SERVICE, changed);
}
