/** Phases with load, with the faults of each. */

import type { FaultStep, LoadPhase } from './loadPhase.js';
import type { ProveStage } from './proveStage.js';
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
    stepAt(0, (stage) => {
      for (const engine of stage.backends.engines) {
        engine.setFaults({ duplicateChunks: 0.1, lateChunks: 0.1 });
      }
    }),
    stepAt(1.5, crashEngine),
    stepAt(2, (stage) => stage.fleet.kill(0)),
    stepAt(4, (stage) => stage.fleet.kill(5)),
    stepAt(7, (stage) => stage.fleet.restart(0)),
    stepAt(8, (stage) => stage.fleet.restart(5)),
  ],
};

const freezePhase: LoadPhase = {
  name: 'freeze',
  faults: ['SIGSTOP of 2 routers, one past goneMs, and SIGCONT'],
  seconds: 12,
  mayBreak: true,
  steps: [
    stepAt(1, (stage) => {
      stage.fleet.freeze(1);
    }),
    stepAt(3, (stage) => {
      stage.fleet.freeze(2);
    }),
    stepAt(5, (stage) => {
      stage.fleet.thaw(2);
    }),
    stepAt(9, (stage) => {
      stage.fleet.thaw(1);
    }),
  ],
};

const cutPhase: LoadPhase = {
  name: 'cut',
  faults: ['data centre cut from the others and the platform, with a top-up, then healed'],
  seconds: 14,
  mayBreak: true,
  steps: [
    stepAt(2, (stage) => {
      stage.network.cut(cutDataCentre(stage));
    }),
    stepAt(5, (stage) => topUp(stage, 'cut-middle')),
    stepAt(11, (stage) => {
      stage.network.heal(cutDataCentre(stage));
    }),
  ],
};

const outagePhase: LoadPhase = {
  name: 'outage',
  faults: ['platform silent', 'platform refusing', 'replies lost after effect'],
  seconds: 14,
  mayBreak: true,
  steps: [
    stepAt(0, (stage) => {
      stage.platform.setFaults('all', { lostReplies: 0.1 });
      for (const service of stage.backends.plainServices) {
        service.setFaults({ breakAt: 'after-run', breaks: 2 });
      }
    }),
    stepAt(2, (stage) => {
      setOutage(stage, 'silent');
    }),
    stepAt(6, (stage) => {
      setOutage(stage, 'none');
    }),
    stepAt(8, (stage) => {
      setOutage(stage, 'refuse');
    }),
    stepAt(11, (stage) => {
      setOutage(stage, 'none');
    }),
    stepAt(13, (stage) => {
      stage.platform.setFaults('all', { lostReplies: 0 });
    }),
  ],
};

const stopPhase: LoadPhase = {
  name: 'stop',
  faults: ['SIGTERM of 3 routers under load'],
  seconds: 10,
  mayBreak: false,
  steps: [
    stepAt(1, (stage) => stopAndRestart(stage, 0)),
    stepAt(3, (stage) => stopAndRestart(stage, 3)),
    stepAt(5, (stage) => stopAndRestart(stage, 6)),
  ],
};

const doublePhase: LoadPhase = {
  name: 'double',
  faults: ['cut, and SIGKILL beyond it'],
  seconds: 14,
  mayBreak: true,
  steps: [
    stepAt(1, (stage) => {
      stage.network.cut(cutDataCentre(stage));
    }),
    // the first router of the partitioned data centre, which also contains its witnesses.
    stepAt(3, (stage) => stage.fleet.kill(0)),
    stepAt(5, (stage) => stage.fleet.kill(1)),
    stepAt(9, (stage) => {
      stage.network.heal(cutDataCentre(stage));
    }),
    stepAt(10, (stage) => stage.fleet.restart(0)),
    stepAt(11, (stage) => stage.fleet.restart(1)),
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

function cutDataCentre(stage: ProveStage): string {
  return stage.plan.dataCentres[CUT_DATA_CENTRE] ?? '';
}

function setOutage(stage: ProveStage, outage: 'none' | 'silent' | 'refuse'): undefined {
  stage.platform.setFaults('all', { outage });
}

async function crashEngine(stage: ProveStage): Promise<void> {
  const engine = stage.backends.engines.find((one) => one.runningRequests > 0);
  engine?.crash();
  await engine?.start();
}

/** Stops a router as planned and restarts it; an exit code other than 0 is a violation. */
async function stopAndRestart(stage: ProveStage, index: number): Promise<void> {
  const end = await stage.fleet.terminate(index);
  if (end.code !== 0)
    stage.stopViolations.push(`router ${index} exited with ${JSON.stringify(end)}`);
  await stage.fleet.restart(index);
}
