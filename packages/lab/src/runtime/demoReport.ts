/** Checks the result of a demo and renders its figures. */

import type { DemoResult } from '../types/demo.js';
import type { ClassFigures, LoadResult, Percentiles } from '../types/load.js';
import type { ReportChart, ReportDocument, ReportTable } from '../types/report.js';
import type { SpendRow } from './spend.js';
import { entryOf } from '@flamingocourse/core';

type DemoFigures = Omit<DemoResult, 'violations' | 'report'>;

/** Lists the violations of the system's promises in a run, as sentences. */
export function findViolations({ load, spend, entries }: DemoFigures): string[] {
  const counts: [number, string][] = [
    [load.cut, 'answers were reported as complete but are not'],
    [load.mixed, 'answers contained words that are not the caller’s own'],
    [load.broken, 'answers broke off without a final event'],
    [entries.doubled.length, 'non-idempotent requests ran more than once'],
    [entries.lost.length, 'entries were reported as executed but did not run'],
    [entries.falselyNotRun.length, 'requests were refused as not run but ran'],
    [spend.filter((row) => row.over).length, 'accounts spent or hold more than their budget'],
    [underbilled(load, spend).length, 'accounts were billed less than their whole answers cost'],
  ];
  return counts.filter(([count]) => count > 0).map(([count, text]) => `${count} ${text}`);
}

/** Creates a report with tables and charts of the figures. */
export function createDemoReport(figures: DemoFigures): ReportDocument {
  const { load, spend, deployment } = figures;
  const classes = Object.entries(load.classes).sort(([one], [other]) => one.localeCompare(other));
  return {
    title: `Demo of ${deployment}`,
    facts: [
      `seed ${load.seed}, arrivals over ${load.seconds} s`,
      `${load.requests} requests, ${load.whole} whole answers, ${load.retries} retries`,
      `${load.cut} cut, ${load.mixed} mixed, ${load.broken} broken off, ${load.unanswered} unanswered`,
      `${load.hungUp} callers hung up, ${load.notStarted} arrivals not started`,
    ],
    tables: [classTable(classes), refusalTable(load), spendTable(load, spend)],
    charts: [
      latencyChart('First token', classes, (item) => item.firstTokenMs),
      latencyChart('Whole answer', classes, (item) => item.fullMs),
      spendChart(spend),
    ],
  };
}

/** Accounts whose bills are less than the tokens that were reported to their callers. */
function underbilled(load: LoadResult, spend: readonly SpendRow[]): SpendRow[] {
  return spend.filter((row) => row.spent < (entryOf(load.accounts, row.account)?.tokens ?? 0));
}

function classTable(classes: [string, ClassFigures][]): ReportTable {
  const latencies = (item: Percentiles): number[] => [item.p50, item.p95, item.p99].map(Math.round);
  return {
    title: 'Classes of work (latencies in ms, retries included)',
    columns: [
      'class',
      'requests',
      'whole',
      'refused',
      ...['first p50', 'first p95', 'first p99', 'full p50', 'full p95', 'full p99'],
    ],
    rows: classes.map(([name, item]) => [
      name,
      item.requests,
      item.whole,
      item.refused,
      ...latencies(item.firstTokenMs),
      ...latencies(item.fullMs),
    ]),
  };
}

function refusalTable(load: LoadResult): ReportTable {
  const rows = Object.entries(load.refusals).sort(([, one], [, other]) => other - one);
  return { title: 'Refusals', columns: ['reason', 'requests'], rows };
}

function spendTable(load: LoadResult, spend: readonly SpendRow[]): ReportTable {
  return {
    title: 'Spend against budget (tokens)',
    columns: ['account', 'requests', 'whole', 'refused', 'answered', 'spent', 'held', 'budget'],
    rows: spend.map((row) => {
      const calls = entryOf(load.accounts, row.account);
      return [
        row.account,
        calls?.requests ?? 0,
        calls?.whole ?? 0,
        calls?.refused ?? 0,
        calls?.tokens ?? 0,
        row.spent,
        row.committed - row.spent,
        row.limit,
      ];
    }),
  };
}

function latencyChart(
  title: string,
  classes: [string, ClassFigures][],
  choose: (item: ClassFigures) => Percentiles,
): ReportChart {
  const shares = ['p50', 'p95', 'p99'] as const;
  return {
    title,
    type: 'bar',
    unit: 'ms',
    categories: classes.map(([name]) => name),
    series: shares.map((share) => ({
      name: share,
      values: classes.map(([, item]) => Math.round(choose(item)[share])),
    })),
  };
}

function spendChart(spend: readonly SpendRow[]): ReportChart {
  return {
    title: 'Spend against budget',
    type: 'bar',
    unit: 'tokens',
    categories: spend.map((row) => row.account),
    series: [
      { name: 'spent', values: spend.map((row) => row.spent) },
      { name: 'budget', values: spend.map((row) => row.limit) },
    ],
  };
}
