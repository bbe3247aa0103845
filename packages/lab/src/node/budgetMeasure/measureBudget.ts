/** The measurement `npm run measure -- budget`. */

import type { ReportDocument } from '../../types/report.js';
import type { ScenarioOptions, ScenarioResult } from './scenarioTypes.js';
import { createBudgetReport, violationsOf } from './budgetReport.js';
import { scenarios } from './scenarios.js';

/** Options of the measurement. */
export interface BudgetMeasureOptions extends ScenarioOptions {
  /** Name of the one scenario to run. @default all */
  only?: string;
  onProgress: (line: string) => void;
}

/** What the measurement gives. */
export interface BudgetMeasureResult {
  report: ReportDocument;
  results: ScenarioResult[];
  /** Overspend, lost or doubled bills, as sentences; the measurement failed if there are any. */
  violations: string[];
}

/**
 * Runs the scenarios one after the other.
 *
 * @example
 * await measureBudget({ seed: 1, seconds: 20, onProgress: console.error });
 */
export async function measureBudget(options: BudgetMeasureOptions): Promise<BudgetMeasureResult> {
  const { only, onProgress, ...common } = options;
  const names = Object.keys(scenarios);
  if (only !== undefined && !names.includes(only)) {
    throw new RangeError(`use one of ${names.join(', ')} instead of "${only}".`);
  }
  const results: ScenarioResult[] = [];
  for (const [name, run] of Object.entries(scenarios)) {
    if (only !== undefined && name !== only) continue;
    onProgress(`${name} ...`);
    results.push(await run(common));
  }
  const violations = results.flatMap(violationsOf);
  return { report: createBudgetReport(results, common), results, violations };
}
