/** Creates the report of the budget measurement. */

import type { ReportDocument, ReportTable } from '../../types/report.js';
import type { ScenarioOptions, ScenarioResult } from './scenarioTypes.js';
import { cutCompression } from './scenarios.js';

const PER_THOUSAND = 1_000;
const PERCENT = 100;

/** Describes the faults because of which the measurement fails. */
export function violationsOf({ name, audit }: ScenarioResult): string[] {
  const { overspend, lostBills, doubledBills, faults } = audit;
  const found = faults.map((fault) => `${name}: ${fault}`);
  if (overspend > 0) found.push(`${name}: ${overspend} tokens were spent above a limit.`);
  if (lostBills > 0) found.push(`${name}: ${lostBills} acknowledged bills are not stored.`);
  if (doubledBills > 0) found.push(`${name}: ${doubledBills} stored bills are duplicates.`);
  return found;
}

/** Creates the report document with one table per topic. */
export function createBudgetReport(
  results: readonly ScenarioResult[],
  options: ScenarioOptions,
): ReportDocument {
  return {
    title: 'Budget',
    facts: [
      `seed ${options.seed}, ${options.seconds} s of load a scenario, 8 routers in 4 data centres`,
      'store of 5 ms a call, question to a peer 1 ms; default settings of the routers',
      `the cut stands in for one of 600 s, ${cutCompression(options).toFixed(0)} times shorter: ride-through and volume follow, the intervals of the routers do not`,
    ],
    tables: [
      moneyTable(results),
      refusalTable(results),
      latencyTable(results),
      callTable(results),
      ...strandedTable(results),
    ],
    charts: [],
  };
}

function moneyTable(results: readonly ScenarioResult[]): ReportTable {
  return {
    title: 'Money (each must be 0) and outcomes',
    columns: ['scenario', 'requests', 'overspend', 'lost', 'doubled', 'outcomes'],
    rows: results.map(({ name, requests, audit, outcomes }) => [
      name,
      requests,
      audit.overspend,
      audit.lostBills,
      audit.doubledBills,
      Object.entries(outcomes)
        .map(([outcome, count]) => `${outcome} ${count}`)
        .join(', '),
    ]),
  };
}

function refusalTable(results: readonly ScenarioResult[]): ReportTable {
  return {
    title: 'False refusals (goal against the naive oracle: 0.1 % connected, 2 % in a cut)',
    columns: ['scenario', 'naive', 'naive %', 'perfect', 'perfect %', 'hidden top-up (naive)'],
    rows: results.map(({ name, requests, falseRefusals: { naive, perfect } }) => [
      name,
      naive.count,
      percent(naive.count, requests),
      perfect.count,
      percent(perfect.count, requests),
      naive.hiddenTopUp,
    ]),
  };
}

function latencyTable(results: readonly ScenarioResult[]): ReportTable {
  return {
    title: 'Milliseconds added (goal: final event under 100 at p95)',
    columns: ['scenario', 'before', 'p50', 'p95', 'p99', 'reserved under 5 ms'],
    rows: results.flatMap(({ name, reserve, bill, reservedAtOnce }) => [
      [name, 'dispatch', ...round(reserve), `${(reservedAtOnce * PERCENT).toFixed(2)} %`],
      [name, 'final event', ...round(bill), ''],
    ]),
  };
}

function callTable(results: readonly ScenarioResult[]): ReportTable {
  return {
    title: 'Platform calls (goal: at most 100 writes a second at 1,000 requests a second)',
    columns: ['scenario', 'call', 'per second', 'per 1,000 requests'],
    rows: results.flatMap(({ name, calls, seconds, requests }) => {
      const row = (kind: string, count: number): (string | number)[] => [
        name,
        kind,
        (count / seconds).toFixed(1),
        ((count * PER_THOUSAND) / requests).toFixed(1),
      ];
      const isWrite = ([kind]: [string, number]): boolean => !/^(get|list) /.test(kind);
      const writes = Object.entries(calls).filter(isWrite);
      const total = writes.reduce((sum, [, count]) => sum + count, 0);
      return [...Object.entries(calls).map((entry) => row(...entry)), row('all writes', total)];
    }),
  };
}

function strandedTable(results: readonly ScenarioResult[]): ReportTable[] {
  const rows = results.flatMap(({ name, stranded }) =>
    stranded
      ? [[name, stranded.tokens, stranded.demandSeconds.toFixed(2), stranded.freeAfterMs]]
      : [],
  );
  if (rows.length === 0) return [];
  const columns = ['scenario', 'tokens', 'seconds of demand', 'free after ms'];
  return [{ title: 'Stranded by a crash (goal: under 5 s of demand)', columns, rows }];
}

function round(values: { p50: number; p95: number; p99: number }): string[] {
  return [values.p50, values.p95, values.p99].map((value) => value.toFixed(1));
}

function percent(count: number, of: number): string {
  return ((count * PERCENT) / of).toFixed(3);
}
