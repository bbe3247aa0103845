/** Samples budgets and configuration periodically while faults are injected. */

import type { FleetRunner } from '../fleetRunner/index.js';
import type { ProveDeployment } from './proveDeployment.js';
import { runInBackground } from '@flamingocourse/kernel';
import { endOnFailure } from '../../utils/endOnFailure.js';
import { z } from 'zod';
import { findMoneyFaults } from '../../runtime/prove/moneyAudit.js';
import { readMoney } from './proveDeployment.js';

const MONEY_SAMPLE_MS = 100;
const REVISION_SAMPLE_MS = 250;
const STATUS_TIMEOUT_MS = 1_000;

const statusSchema = z.object({
  ready: z.boolean(),
  revision: z.number(),
  incarnation: z.string(),
});

export type RouterStatus = z.infer<typeof statusSchema>;

/** Samples and violations of a watcher. */
export interface Watch {
  samples: number;
  violations: string[];
  /** Ends the watch. */
  stop(): void;
}

/** Samples ledger and journals and checks that no budget is exceeded. */
export function watchMoney(deployment: ProveDeployment): Watch {
  const seen = new Set<string>();
  const watch: Watch = { samples: 0, violations: [], stop: () => undefined };
  const timer = setInterval(() => {
    watch.samples += 1;
    for (const fault of findMoneyFaults(readMoney(deployment.platform))) seen.add(fault);
    watch.violations = [...seen];
  }, MONEY_SAMPLE_MS);
  watch.stop = () => {
    clearInterval(timer);
  };
  return watch;
}

/** Samples the revision in force at each router; it must not decrease, not even after a restart. */
export function watchRevisions(fleet: FleetRunner): Watch {
  const highest = new Map<number, number>();
  const watch: Watch = { samples: 0, violations: [], stop: () => undefined };
  const sample = async (url: string, index: number): Promise<void> => {
    const status = await readStatus(url);
    if (!status?.ready) return;
    watch.samples += 1;
    const before = highest.get(index) ?? 0;
    if (status.revision < before) {
      watch.violations.push(`router ${index} went from ${before} back to ${status.revision}`);
    }
    highest.set(index, Math.max(before, status.revision));
  };
  const timer = setInterval(() => {
    fleet.routers.forEach((router, index) => {
      if (router.state !== 'running') return;
      runInBackground(() => sample(router.entryUrl, index), endOnFailure);
    });
  }, REVISION_SAMPLE_MS);
  watch.stop = () => {
    clearInterval(timer);
  };
  return watch;
}

/** Reads `/readyz`; returns `undefined` if the router does not answer. */
export async function readStatus(entryUrl: string): Promise<RouterStatus | undefined> {
  try {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    const res = await fetch(`${entryUrl}/readyz`, { signal });
    return statusSchema.safeParse(await res.json()).data;
  } catch {
    return undefined;
  }
}
