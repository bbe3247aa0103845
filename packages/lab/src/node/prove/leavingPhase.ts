/** Promise 6: servers leave by instance list, by health check, and by drain command. */

import type { EngineStandIn } from '../engineStandIn/index.js';
import type { PhaseFigures, PhaseContext } from './loadPhase.js';
import type { ProveDeployment } from './proveDeployment.js';
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
  leave: (deployment: ProveDeployment) => Promise<unknown> | undefined;
  undo: (deployment: ProveDeployment) => Promise<unknown> | undefined;
  count: (engine: EngineStandIn) => number;
}

const leavingCases: LeavingCase[] = [
  {
    name: 'instance list says leaving, 1 s late',
    engine: 0,
    leave: (deployment) => {
      setListedState(deployment, 0, 'leaving');
    },
    undo: (deployment) => {
      setListedState(deployment, 0, 'live');
    },
    count: (engine) => engine.counters.requests,
  },
  {
    name: 'server says leaving, list says live',
    engine: 1,
    leave: (deployment) => {
      deployment.backends.engines[1]?.setFaults({ leaving: true });
    },
    undo: (deployment) => {
      deployment.backends.engines[1]?.setFaults({ leaving: false });
    },
    count: (engine) => engine.counters.whileLeaving,
  },
  {
    name: 'operator drains, list says live',
    engine: 2,
    leave: (deployment) => deployment.operate('drain', MODEL_SERVICE, `${MODEL_SERVICE}-3`),
    undo: (deployment) =>
      deployment.operate('drain', MODEL_SERVICE, `${MODEL_SERVICE}-3`, '--undo'),
    count: (engine) => engine.counters.requests,
  },
];

/** Makes three servers leave at the same time under load. */
export async function runLeavingPhase(context: PhaseContext): Promise<Partial<PhaseFigures>> {
  const { deployment, findings, seed } = context;
  context.onProgress('phase leaving: three servers leave in three ways');
  const before = leavingCases.map(
    ({ engine }) => deployment.backends.engines[engine]?.counters.requests,
  );
  const load = runLoad({
    targets: deployment.fleet.entryUrls.map((url) => ({ url, weight: 1 })),
    accounts: proveAccounts.filter((account) => account.name === 'wide'),
    mix: proveMix.filter((item) => item.type === 'chat'),
    ratePerSecond: RATE_PER_SECOND,
    seconds: LOAD_SECONDS,
    seed,
  });
  await delay(1_000);
  for (const [index, { engine }] of leavingCases.entries()) {
    const now = deployment.backends.engines[engine]?.counters.requests;
    const checks = (now ?? 0) > (before[index] ?? 0) ? 1 : 0;
    // the check proves nothing for a server that got no work before it left.
    findings.add(6, { checks });
  }
  await Promise.all(leavingCases.map(async ({ leave }) => leave(deployment)));
  await delay(GRACE_MS);
  const countsAfterGrace = leavingCases.map((leaving) => countRequests(deployment, leaving));
  await delay(WATCH_MS);
  for (const [index, leaving] of leavingCases.entries()) {
    const late = countRequests(deployment, leaving) - (countsAfterGrace[index] ?? 0);
    const text = `${leaving.name}: ${late} requests came later than ${GRACE_MS} ms`;
    const violations = late > 0 ? [text] : [];
    findings.add(6, { faults: [leaving.name], checks: 1, violations });
  }
  await Promise.all(leavingCases.map(async ({ undo }) => undo(deployment)));
  const { requests, whole, broken, unanswered, retries, refusals } = await load;
  return {
    phase: 'leaving',
    load: { requests, whole, broken, unanswered, retries, refusals },
  };
}

function countRequests(deployment: ProveDeployment, { engine, count }: LeavingCase): number {
  const standIn = deployment.backends.engines[engine];
  return standIn ? count(standIn) : 0;
}

function setListedState(
  deployment: ProveDeployment,
  index: number,
  state: 'live' | 'leaving',
): undefined {
  const items = deployment.backends.instances.get(MODEL_SERVICE) ?? [];
  const changed = items.map((item, place) => (place === index ? { ...item, state } : item));
  deployment.platform.setInstances(MODEL_SERVICE, changed);
}
