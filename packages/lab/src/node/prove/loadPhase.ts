/** A phase of the proof: load with faults at fixed times, then all audits in a quiet system. */

import type { LoadResult } from '../../types/load.js';
import type { Findings } from '../../runtime/prove/findings.js';
import type { ProveDeployment } from './proveDeployment.js';
import type { Watch } from './watchers.js';
import { setTimeout as delay } from 'node:timers/promises';
import { auditEntries } from '../../runtime/entryAudit.js';
import { skewedWeights } from '../../runtime/loadPlan.js';
import { findQuiescentFaults } from '../../runtime/prove/moneyAudit.js';
import { runLoad } from '../loadGenerator/index.js';
import { CallerLog } from './callerLog.js';
import { proveAccounts, proveMix, TIGHT_ACCOUNTS, TIGHT_TOKENS } from './proveDeclarations.js';
import { readBills, readMoney } from './proveDeployment.js';
import { runDuplicateRequests } from './duplicateRequests.js';
import { watchMoney } from './watchers.js';

/** Start or end of a fault at a fixed time of the phase. */
export interface FaultStep {
  atSeconds: number;
  run: (deployment: ProveDeployment) => Promise<unknown> | undefined;
}

/** A phase with load. */
export interface LoadPhase {
  name: string;
  /** Descriptions of the faults, for the reports of the promises. */
  faults: string[];
  /** Seconds during which requests arrive. */
  seconds: number;
  steps: FaultStep[];
  /** Whether streams may break before their end. */
  mayBreak: boolean;
}

/** Arguments that all phases share. */
export interface PhaseContext {
  deployment: ProveDeployment;
  findings: Findings;
  seed: number;
  onProgress: (line: string) => void;
}

/** Figures of a phase, for information only. */
export interface PhaseFigures {
  phase: string;
  load: Pick<LoadResult, 'requests' | 'whole' | 'broken' | 'unanswered' | 'retries' | 'refusals'>;
  twins: number;
  attempts: number;
  entries: number;
  moneySamples: number;
  /** Milliseconds until ledger, journals and bills agreed exactly; absent if they never did. */
  quietAfterMs?: number;
}

const RATE_PER_SECOND = 24;
const DUPLICATES_PER_SECOND = 6;
const TIMEOUT_MS = 12_000;
const MAX_ATTEMPTS = 6;
const QUIET_POLL_MS = 250;
const QUIET_TIMEOUT_MS = 12_000;
const MS_PER_SECOND = 1_000;

/** Runs a phase and adds its findings. */
export async function runLoadPhase(context: PhaseContext, phase: LoadPhase): Promise<PhaseFigures> {
  const { deployment, findings, seed } = context;
  context.onProgress(`phase ${phase.name}: ${phase.faults.join(', ')}`);
  await topUp(deployment, `${phase.name}-start`);
  const money = watchMoney(deployment);
  const log = new CallerLog(deployment.fleet.fleetSecret);
  const weights = skewedWeights(deployment.fleet.entryUrls.length);
  const [load, twins] = await Promise.all([
    runLoad({
      targets: deployment.fleet.entryUrls.map((url, index) => ({
        url,
        weight: weights[index] ?? 1,
      })),
      accounts: proveAccounts,
      mix: proveMix,
      ratePerSecond: RATE_PER_SECOND,
      seconds: phase.seconds,
      seed,
      timeoutMs: TIMEOUT_MS,
      maxAttempts: MAX_ATTEMPTS,
      onAttempt: (request, end) => {
        log.add(request, end);
      },
    }),
    runDuplicateRequests({
      entryUrls: deployment.fleet.entryUrls,
      label: `${phase.name}-${seed}`,
      seed,
      seconds: phase.seconds,
      perSecond: DUPLICATES_PER_SECOND,
      log,
    }),
    runSteps(deployment, phase.steps),
  ]);
  const quiet = await waitForQuiet(deployment);
  money.stop();
  addFindings({ deployment, findings, phase, log, money, load, quietFaults: quiet.faults });
  const { requests, whole, broken, unanswered, retries, refusals } = load;
  return {
    phase: phase.name,
    load: { requests, whole, broken, unanswered, retries, refusals },
    twins,
    attempts: log.attempts,
    entries: Object.keys(log.entries).length,
    moneySamples: money.samples,
    ...(quiet.faults.length === 0 ? { quietAfterMs: quiet.afterMs } : {}),
  };
}

/** Tops up the tight accounts as an operator; the change id makes the command idempotent. */
export async function topUp(deployment: ProveDeployment, changeId: string): Promise<void> {
  for (const account of TIGHT_ACCOUNTS) {
    const tokens = String(TIGHT_TOKENS);
    const change = ['--account', account, '--tokens', tokens, '--change-id', changeId];
    await deployment.operate('budget', 'top-up', ...change);
  }
}

async function runSteps(deployment: ProveDeployment, steps: readonly FaultStep[]): Promise<void> {
  const startedAt = performance.now();
  await Promise.all(
    steps.map(async ({ atSeconds, run }) => {
      await delay(startedAt + atSeconds * MS_PER_SECOND - performance.now());
      await run(deployment);
    }),
  );
}

/** Waits until ledger, journals and bills agree; returns the differences left at the timeout. */
async function waitForQuiet(
  deployment: ProveDeployment,
): Promise<{ faults: string[]; afterMs: number }> {
  const startedAt = performance.now();
  for (;;) {
    const faults = findQuiescentFaults(
      readMoney(deployment.platform),
      readBills(deployment.platform),
    );
    const afterMs = Math.round(performance.now() - startedAt);
    if (faults.length === 0 || afterMs > QUIET_TIMEOUT_MS) return { faults, afterMs };
    await delay(QUIET_POLL_MS);
  }
}

interface PhaseOutcome {
  deployment: ProveDeployment;
  findings: Findings;
  phase: LoadPhase;
  log: CallerLog;
  money: Watch;
  load: LoadResult;
  quietFaults: string[];
}

function addFindings(outcome: PhaseOutcome): void {
  const { deployment, findings, phase, log, money, load, quietFaults } = outcome;
  const { faults, name } = phase;
  const withPhase = (violations: readonly string[]): string[] =>
    violations.map((violation) => `[${name}] ${violation}`);
  const entries = auditEntries(log.entries, deployment.backends.records.runs);
  const entryCount = Object.keys(log.entries).length;
  findings.add(1, {
    faults,
    checks: money.samples,
    violations: withPhase([...money.violations, ...quietFaults]),
  });
  findings.add(2, {
    faults,
    checks: log.answers.length,
    violations: withPhase(log.auditBills(readBills(deployment.platform))),
  });
  const lost = entries.lost.map((key) => `${key}: answered and never ran`);
  const answers = log.answers.length;
  findings.add(3, { faults, checks: answers, violations: withPhase([...log.badAnswers, ...lost]) });
  const falselyNotRun = entries.falselyNotRun.map(
    (key) => `${key}: refused as not run, and it ran`,
  );
  findings.add(4, { faults, checks: entryCount, violations: withPhase(falselyNotRun) });
  const doubled = entries.doubled.map((key) => `${key}: ran more than once`);
  findings.add(5, { faults, checks: entryCount, violations: withPhase(doubled) });
  if (phase.mayBreak) return;
  const broken = load.broken > 0 ? [`${load.broken} requests in progress were cut off`] : [];
  findings.add(7, { faults, checks: load.requests, violations: withPhase(broken) });
}
