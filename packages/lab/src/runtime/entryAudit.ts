/** Compares the reported outcomes of non-idempotent requests with the executions at the servers. */

import type { EntryOutcome } from '../types/load.js';
import type { ServiceRun } from '../types/plainServiceStandIn.js';
import { entryOf } from '@flamingocourse/core';

/** Keys of requests with a wrong outcome. */
export interface EntryAudit {
  /** Executed more than once. */
  doubled: string[];
  /** Reported as executed, but not executed. */
  lost: string[];
  /** Reported as `not-run`, but executed. */
  falselyNotRun: string[];
}

/**
 * Finds requests whose reported outcome is wrong.
 *
 * @example
 * auditEntries({ 'k-1': 'entered' }, []).lost; // ['k-1']
 */
export function auditEntries(
  outcomes: Record<string, EntryOutcome>,
  runs: readonly Pick<ServiceRun, 'callerKey'>[],
): EntryAudit {
  const runCounts = new Map<string, number>();
  for (const { callerKey } of runs) {
    runCounts.set(callerKey, (runCounts.get(callerKey) ?? 0) + 1);
  }
  const keysWith = (outcome: EntryOutcome, ran: boolean): string[] =>
    Object.keys(outcomes).filter(
      (key) => entryOf(outcomes, key) === outcome && runCounts.has(key) === ran,
    );
  return {
    doubled: [...runCounts].filter(([, count]) => count > 1).map(([key]) => key),
    lost: keysWith('entered', false),
    falselyNotRun: keysWith('not-run', true),
  };
}
