/** Phases with load, with the faults of each. */

import type { FaultStep, LoadPhase } from './loadPhase.js';
import type { ProveDeployment } from './proveDeployment.js';
import { topUp } from './loadPhase.js';

const CUT_DATA_CENTRE = 0;

function stepAt(atSeconds: number, run: FaultStep['run']): FaultStep {
  return { atSeconds, run };
}

const killPhase: LoadPhase = {
  name: 'kill',
  faults: ['SIGKILL of 2 routers with open streams', 'engine crash', 'duplicate and late chunks'],
  seconds: 10,
  mayBreak: true,
  steps: [
    stepAt(0, (deployment) => {
      for (const engine of deployment.backends.engines) {
        engine.setFaults({ duplicateChunks: 0.1, lateChunks: 0.1 });
      }
    }),
    stepAt(1.5, crashEngine),
    stepAt(2, (deployment) => deployment.fleet.kill(0)),
    stepAt(4, (deployment) => deployment.fleet.kill(5)),
    stepAt(7, (deployment) => deployment.fleet.restart(0)),
    stepAt(8, (deployment) => deployment.fleet.restart(5)),
  ],
};

const freezePhase: LoadPhase = {
  name: 'freeze',
  faults: ['SIGSTOP of 2 routers, one past goneMs, and SIGCONT'],
  seconds: 12,
  mayBreak: true,
  steps: [
    stepAt(1, (deployment) => {
      deployment.fleet.freeze(1);
    }),
    stepAt(3, (deployment) => {
      deployment.fleet.freeze(2);
    }),
    stepAt(5, (deployment) => {
      deployment.fleet.thaw(2);
    }),
    stepAt(9, (deployment) => {
      deployment.fleet.thaw(1);
    }),
  ],
};

const cutPhase: LoadPhase = {
  name: 'cut',
  faults: ['data centre cut from the others and the platform, with a top-up, then healed'],
  seconds: 14,
  mayBreak: true,
  steps: [
    stepAt(2, (deployment) => {
      deployment.network.cut(cutDataCentre(deployment));
    }),
    stepAt(5, (deployment) => topUp(deployment, 'cut-middle')),
    stepAt(11, (deployment) => {
      deployment.network.heal(cutDataCentre(deployment));
    }),
  ],
};

const outagePhase: LoadPhase = {
  name: 'outage',
  faults: ['platform silent', 'platform refusing', 'replies lost after effect'],
  seconds: 14,
  mayBreak: true,
  steps: [
    stepAt(0, (deployment) => {
      deployment.platform.setFaults('all', { lostReplies: 0.1 });
      for (const service of deployment.backends.plainServices) {
        service.setFaults({ breakAt: 'after-run', breaks: 2 });
      }
    }),
    stepAt(2, (deployment) => {
      setOutage(deployment, 'silent');
    }),
    stepAt(6, (deployment) => {
      setOutage(deployment, 'none');
    }),
    stepAt(8, (deployment) => {
      setOutage(deployment, 'refuse');
    }),
    stepAt(11, (deployment) => {
      setOutage(deployment, 'none');
    }),
    stepAt(13, (deployment) => {
      deployment.platform.setFaults('all', { lostReplies: 0 });
    }),
  ],
};

const stopPhase: LoadPhase = {
  name: 'stop',
  faults: ['SIGTERM of 3 routers under load'],
  seconds: 10,
  mayBreak: false,
  steps: [
    stepAt(1, (deployment) => stopAndRestart(deployment, 0)),
    stepAt(3, (deployment) => stopAndRestart(deployment, 3)),
    stepAt(5, (deployment) => stopAndRestart(deployment, 6)),
  ],
};

const doublePhase: LoadPhase = {
  name: 'double',
  faults: ['cut, and SIGKILL beyond it'],
  seconds: 14,
  mayBreak: true,
  steps: [
    stepAt(1, (deployment) => {
      deployment.network.cut(cutDataCentre(deployment));
    }),
    // the first router of the partitioned data centre, which also contains its witnesses.
    stepAt(3, (deployment) => deployment.fleet.kill(0)),
    stepAt(5, (deployment) => deployment.fleet.kill(1)),
    stepAt(9, (deployment) => {
      deployment.network.heal(cutDataCentre(deployment));
    }),
    stepAt(10, (deployment) => deployment.fleet.restart(0)),
    stepAt(11, (deployment) => deployment.fleet.restart(1)),
  ],
};

/** All phases with load, in the order in which they run. */
export const loadPhases: readonly LoadPhase[] = [
  killPhase,
  freezePhase,
  cutPhase,
  outagePhase,
  doublePhase,
  stopPhase,
];

function cutDataCentre(deployment: ProveDeployment): string {
  return deployment.plan.dataCentres[CUT_DATA_CENTRE] ?? '';
}

function setOutage(deployment: ProveDeployment, outage: 'none' | 'silent' | 'refuse'): undefined {
  deployment.platform.setFaults('all', { outage });
}

async function crashEngine(deployment: ProveDeployment): Promise<void> {
  const engine = deployment.backends.engines.find((one) => one.runningRequests > 0);
  engine?.crash();
  await engine?.start();
}

/** Stops a router as planned and restarts it; an exit code other than 0 is a violation. */
async function stopAndRestart(deployment: ProveDeployment, index: number): Promise<void> {
  const end = await deployment.fleet.terminate(index);
  if (end.code !== 0)
    deployment.stopViolations.push(`router ${index} exited with ${JSON.stringify(end)}`);
  await deployment.fleet.restart(index);
}
