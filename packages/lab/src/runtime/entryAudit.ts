/** Compares what callers were told of their non-idempotent requests with what really ran. */

import type { EntryOutcome } from '../types/load.js';
import type { ServiceRun } from '../types/plainServiceStandIn.js';

/** Keys of requests for which a promise was broken. */
export interface EntryAudit {
  /** Ran more than once. */
  doubled: string[];
  /** The caller was told that it ran, and it did not. */
  lost: string[];
  /** The caller was told `not-run`, and it ran. */
  falselyNotRun: string[];
}

/**
 * Finds broken promises.
 *
 * @example
 * auditEntries({ 'k-1': 'entered' }, []).lost; // ['k-1']
 */
export function auditEntries(
  outcomes: Record<string, EntryOutcome>,
  runs: readonly Pick<ServiceRun, 'callerKey'>[],
): EntryAudit {
  const runsByKey = new Map<string, number>();
  for (const { callerKey } of runs) {
    runsByKey.set(callerKey, (runsByKey.get(callerKey) ?? 0) + 1);
  }
  const keysWith = (outcome: EntryOutcome, ran: boolean): string[] =>
    Object.keys(outcomes).filter((key) => outcomes[key] === outcome && runsByKey.has(key) === ran);
  return {
    doubled: [...runsByKey].filter(([, count]) => count > 1).map(([key]) => key),
    lost: keysWith('entered', false),
    falselyNotRun: keysWith('not-run', true),
  };
}
