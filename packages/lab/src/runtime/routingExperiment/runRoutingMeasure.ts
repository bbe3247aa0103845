/** The measurement `npm run measure -- routing`: all policies in all scenarios. */

import type { ClassResult, RoutingExperimentResult, RoutingMeasureRow } from './types.js';
import Table from 'cli-table3';
import { measureCapacity } from './measureCapacity.js';
import { createRoutingReport } from './routingReport.js';
import { routingPolicies, routingScenarios } from './policies.js';
import { runRoutingExperiment } from './runRoutingExperiment.js';

/** Options of the measurement. */
export interface RoutingMeasureOptions {
  /** Every policy runs in every scenario once per seed. */
  seeds: readonly number[];
  /** Prints results as JSON instead of tables. @default false */
  json?: boolean;
  /** Virtual seconds of each run. @default 90 */
  seconds?: number;
  /** Names of the policies to run. @default all */
  policies?: readonly string[];
}

/**
 * Runs the measurement and returns what it prints.
 *
 * @example
 * console.log(runRoutingMeasure({ seeds: [1, 2, 3] }));
 */
export function runRoutingMeasure(options: RoutingMeasureOptions): string {
  const capacityPerSecond = measureCapacity(options.seeds[0] ?? 1);
  const rows = routingScenarios.flatMap((scenario) =>
    routingPolicies
      .filter((policy) => options.policies?.includes(policy.name) ?? true)
      .map((policy) => {
        const seconds = options.seconds === undefined ? {} : { seconds: options.seconds };
        const runs = options.seeds.map((seed) =>
          runRoutingExperiment({ seed, policy, scenario, capacityPerSecond, ...seconds }),
        );
        return meanOfRuns(runs);
      }),
  );
  const title = `capacity ${capacityPerSecond.toFixed(1)} requests/s; seeds ${options.seeds.join(', ')}; times in ms to the first token`;
  if (options.json) {
    const present = rows.flatMap((row) => row ?? []);
    const report = createRoutingReport(title, present);
    return JSON.stringify({ report, capacityPerSecond, rows }, undefined, 2);
  }
  const tables = routingScenarios.map(({ name }) =>
    renderScenario(
      name,
      rows.filter((row) => row?.scenario === name).flatMap((row) => row ?? []),
    ),
  );
  return [title, ...tables].join('\n\n');
}

function meanOfRuns(runs: RoutingExperimentResult[]): RoutingMeasureRow | undefined {
  const first = runs[0];
  if (!first) return undefined;
  return {
    policy: first.policy,
    scenario: first.scenario,
    classes: first.classes.map((_, i) => meanOfClass(runs.flatMap((run) => run.classes[i] ?? []))),
    usefulTokensPerSecond: mean(runs.map((run) => run.usefulTokensPerSecond)),
    cacheHits: mean(runs.map((run) => run.cacheHits)),
  };
}

function meanOfClass(results: ClassResult[]): ClassResult {
  const average = (pick: (result: ClassResult) => number): number => mean(results.map(pick));
  const refusals: ClassResult['refusals'] = {};
  for (const result of results) {
    for (const [reason, count] of Object.entries(result.refusals)) {
      const key = reason as keyof typeof refusals;
      refusals[key] = (refusals[key] ?? 0) + count / results.length;
    }
  }
  return {
    workClass: results[0]?.workClass ?? '',
    offered: average((result) => result.offered),
    answered: average((result) => result.answered),
    targetMet: average((result) => result.targetMet),
    p50: average((result) => result.p50),
    p95: average((result) => result.p95),
    p99: average((result) => result.p99),
    refusals,
  };
}

function renderScenario(name: string, rows: RoutingMeasureRow[]): string {
  const head = ['policy', 'class', 'target met', 'answered', 'p50', 'p95', 'p99', 'refusals'];
  const table = new Table({
    head: [...head, 'tokens/s', 'cache'],
    style: { head: [], border: [] },
  });
  for (const row of rows) {
    row.classes.forEach((result, i) => {
      const firstLine = i === 0;
      table.push([
        firstLine ? row.policy : '',
        result.workClass,
        percent(result.targetMet),
        percent(result.answered / Math.max(1, result.offered)),
        result.p50.toFixed(0),
        result.p95.toFixed(0),
        result.p99.toFixed(0),
        describeRefusals(result),
        firstLine ? row.usefulTokensPerSecond.toFixed(0) : '',
        firstLine ? percent(row.cacheHits) : '',
      ]);
    });
  }
  return `${name}\n${table.toString()}`;
}

function describeRefusals(result: ClassResult): string {
  const parts = Object.entries(result.refusals).map(
    ([reason, count]) => `${reason} ${percent(count / Math.max(1, result.offered))}`,
  );
  return parts.join(', ');
}

function percent(part: number): string {
  return `${(part * 100).toFixed(1)} %`;
}

function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
