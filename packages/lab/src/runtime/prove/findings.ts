/** Collects the findings of the phases of `prove`, by promise. */

import type { PromiseNumber, PromiseReport } from '../../types/prove.js';
import { PROMISES } from '../../types/prove.js';

const MAX_VIOLATIONS = 20;

interface Finding {
  faults: Set<string>;
  checks: number;
  violations: string[];
  more: number;
}

/** Findings of one run. */
export class Findings {
  readonly #byPromise = new Map<PromiseNumber, Finding>(
    PROMISES.map((_, index) => [
      (index + 1) as PromiseNumber,
      { faults: new Set<string>(), checks: 0, violations: [], more: 0 },
    ]),
  );

  /** Adds checks that were made under some faults, and the violations that they found. */
  add(
    promise: PromiseNumber,
    found: { faults?: readonly string[]; checks: number; violations?: readonly string[] },
  ): void {
    const finding = this.#byPromise.get(promise);
    if (!finding) return;
    for (const fault of found.faults ?? []) finding.faults.add(fault);
    finding.checks += found.checks;
    for (const violation of found.violations ?? []) {
      if (finding.violations.includes(violation)) continue;
      if (finding.violations.length < MAX_VIOLATIONS) finding.violations.push(violation);
      else finding.more += 1;
    }
  }

  /** Reports of all promises. A promise without any check is `unproved`, not `held`. */
  reports(): PromiseReport[] {
    return [...this.#byPromise].map(([promise, { faults, checks, violations, more }]) => ({
      promise,
      verdict: violations.length > 0 ? 'broken' : checks > 0 ? 'held' : 'unproved',
      faults: [...faults],
      checks,
      violations: more > 0 ? [...violations, `and ${more} more`] : violations,
    }));
  }
}

/**
 * Formats a report as one line, followed by one line for each violation.
 *
 * @example
 * formatReport(report, 1); // 'promise 7 held: a planned stop ... (faults: SIGTERM; 120 checks; seed 1)'
 */
export function formatReport(report: PromiseReport, seed: number): string {
  const { promise, verdict, faults, checks, violations } = report;
  const faultNames = faults.length > 0 ? faults.join(', ') : 'none';
  const head = `promise ${promise} ${verdict}: ${PROMISES[promise - 1] ?? ''}`;
  const lines = violations.map((violation) => `  ${violation}`);
  return [`${head} (faults: ${faultNames}; ${checks} checks; seed ${seed})`, ...lines].join('\n');
}
