/** Measurement `config`: time until changes are in force, and cost of an idle fleet. */

import type { ReportDocument, ReportTable } from '../../types/report.js';
import type { FleetSize } from './measuredFleet.js';
import type { RestCost } from './restCost.js';
import type { ConfigScenarioResult } from './scenarios.js';
import { measureRest } from './restCost.js';
import { configScenarios, runConfigScenario } from './scenarios.js';

/** Time limit for an accepted change to be in force. */
const IN_FORCE_LIMIT_MS = 3_000;
const CHANGES = 100;
const REST_MS = 10_000;
const SIZE: FleetSize = { dataCentres: 4, routersPerDataCentre: 2 };
const REST_SIZES: readonly FleetSize[] = [2, 8, 32].map((routersPerDataCentre) => ({
  dataCentres: SIZE.dataCentres,
  routersPerDataCentre,
}));

/** Raw figures and the report of them. */
export interface ConfigMeasureResult {
  scenarios: (Omit<ConfigScenarioResult, 'times'> & { p50: number; p95: number; max: number })[];
  rest: RestCost[];
  /** Descriptions of violations; empty on success. */
  violations: string[];
  report: ReportDocument;
}

/**
 * Runs the whole measurement.
 *
 * @example
 * const { report, violations } = await runConfigMeasure((line) => console.error(line));
 */
export async function runConfigMeasure(
  onProgress: (line: string) => void,
): Promise<ConfigMeasureResult> {
  const results: ConfigScenarioResult[] = [];
  for (const scenario of configScenarios) {
    onProgress(`${CHANGES} changes: ${scenario.name}`);
    const result = await runConfigScenario(scenario, SIZE, CHANGES);
    onProgress(JSON.stringify({ ...summarise(result.times), missing: result.missing }));
    results.push(result);
  }
  const rest: RestCost[] = [];
  for (const size of REST_SIZES) {
    onProgress(`at rest: ${size.dataCentres * size.routersPerDataCentre} routers`);
    const cost = await measureRest(size, REST_MS);
    onProgress(JSON.stringify(cost));
    rest.push(cost);
  }
  const scenarios = results.map(({ times, ...counts }) => ({ ...counts, ...summarise(times) }));
  const violations = results.flatMap(findViolations);
  return { scenarios, rest, violations, report: createReport(scenarios, rest) };
}

function findViolations({ name, times, missing, reverts }: ConfigScenarioResult): string[] {
  const late = times.filter((ms) => ms > IN_FORCE_LIMIT_MS).length;
  return [
    ...reverts.map((revert) => `${name}: ${revert}`),
    ...(late > 0
      ? [`${name}: ${late} changes took longer than ${IN_FORCE_LIMIT_MS} ms at a router`]
      : []),
    ...(missing > 0 ? [`${name}: ${missing} changes never came into force at a router`] : []),
  ];
}

function summarise(times: readonly number[]): { p50: number; p95: number; max: number } {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (part: number): number =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0);
  return { p50: at(0.5), p95: at(0.95), max: at(1) };
}

function createReport(
  scenarios: ConfigMeasureResult['scenarios'],
  rest: readonly RestCost[],
): ReportDocument {
  return {
    title: 'Configuration and control traffic',
    facts: [
      `${CHANGES} changes a scenario, ${SIZE.dataCentres} data centres with ${SIZE.routersPerDataCentre} routers each, default times`,
      'all routers in one process on loopback; the platform is an object store in memory',
      'bytes are counted at both ends of each connection; processor time includes both ends',
    ],
    tables: [createTimesTable(scenarios), createRestTable(rest)],
    charts: [],
  };
}

function createTimesTable(scenarios: ConfigMeasureResult['scenarios']): ReportTable {
  return {
    title: 'Milliseconds from acceptance to force, over all changes and routers',
    columns: ['scenario', 'p50', 'p95', 'max', 'conflicts', 'missing', 'reverts'],
    rows: scenarios.map(({ name, p50, p95, max, conflicts, missing, reverts }) => [
      name,
      p50,
      p95,
      max,
      conflicts,
      missing,
      reverts.length,
    ]),
  };
}

function createRestTable(rest: readonly RestCost[]): ReportTable {
  return {
    title: 'Cost of a router at rest',
    columns: ['routers', 'data centres', 'fewest local peers known', 'bytes/s', 'processor ms/s'],
    rows: rest.map(({ routers, dataCentres, fewestLocalPeers, bytesPerSecond, cpuMsPerSecond }) => [
      routers,
      dataCentres,
      fewestLocalPeers,
      bytesPerSecond,
      cpuMsPerSecond,
    ]),
  };
}
