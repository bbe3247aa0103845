/** Measurement `budget`, run by `npm run measure -- budget`. */

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

/** Result of the measurement. */
export interface BudgetMeasureResult {
  report: ReportDocument;
  results: ScenarioResult[];
  /** Descriptions of overspend, lost or duplicate bills and other faults; empty on success. */
  violations: string[];
}

/**
 * Runs the scenarios one after another. Throws `RangeError` if `only` is not a scenario.
 *
 * @example
 * await measureBudget({ seed: 1, seconds: 20, onProgress: console.error });
 */
export async function measureBudget(options: BudgetMeasureOptions): Promise<BudgetMeasureResult> {
  const { only, onProgress, ...common } = options;
  const names = Object.keys(scenarios);
  if (only !== undefined && !names.includes(only)) {
    throw new RangeError(`the scenario must be one of ${names.join(', ')}, not "${only}"`);
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
