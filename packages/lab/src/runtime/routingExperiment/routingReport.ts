/** Renders the routing measurement as a report with one table per scenario. */

import type { ReportDocument, ReportTable } from '../../types/report.js';
import type { RoutingMeasureRow } from './types.js';

const PERCENT = 100;

/** Creates the document that `npm run report` shows. */
export function createRoutingReport(
  fact: string,
  rows: readonly RoutingMeasureRow[],
): ReportDocument {
  const scenarios = [...new Set(rows.map(({ scenario }) => scenario))];
  return {
    title: 'Routing under load and faults',
    facts: [fact],
    tables: scenarios.map((scenario) =>
      scenarioTable(
        scenario,
        rows.filter((row) => row.scenario === scenario),
      ),
    ),
    charts: [],
  };
}

function scenarioTable(scenario: string, rows: readonly RoutingMeasureRow[]): ReportTable {
  return {
    title: scenario,
    columns: ['policy', 'class', 'target met %', 'answered %', 'p50', 'p95', 'p99', 'tokens/s'],
    rows: rows.flatMap((row) =>
      row.classes.map((item) => [
        row.policy,
        item.workClass,
        round(item.targetMet * PERCENT),
        round((item.answered / Math.max(1, item.offered)) * PERCENT),
        Math.round(item.p50),
        Math.round(item.p95),
        Math.round(item.p99),
        Math.round(row.usefulTokensPerSecond),
      ]),
    ),
  };
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
