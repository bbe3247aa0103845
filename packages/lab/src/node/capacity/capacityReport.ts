/** Creates the report of slopes, costs per role, and exceeded limits. */

import type { ReportDocument, ReportTable } from '../../types/report.js';
import type { CapacityRow } from './capacityModel.js';
import type { CostLine, CostLines } from './types.js';
import { cpus, loadavg } from 'node:os';
import { entryOf } from '@flamingocourse/core';
import { findExceededLimits, timesLimit, estimateCapacity } from './capacityModel.js';
import { targetSize, todaySize } from './targetSize.js';

const DIGITS = 3;

/**
 * Creates the report of a run.
 *
 * @example
 * process.stdout.write(renderText(createCapacityReport(lines, 1)));
 */
export function createCapacityReport(lines: CostLines, seed: number): ReportDocument {
  const rows = estimateCapacity(lines, targetSize);
  const [load = 0] = loadavg();
  return {
    title: 'Capacity at the size to come',
    facts: [
      `seed ${seed}, Node ${process.version}, ${cpus().length} cores, load ${round(load)} at the end`,
      `drawn out to ${targetSize.nodes} nodes in ${targetSize.dataCentres} data centres`,
    ],
    tables: [
      slopeTable([...lines.values()]),
      roleTable(rows),
      exceededLimitsTable('What breaks first: lines over their limit, the worst first', rows),
      exceededLimitsTable('Today: lines over their limit', estimateCapacity(lines, todaySize)),
    ],
    charts: [],
  };
}

function slopeTable(lines: CostLine[]): ReportTable {
  return {
    title: 'Measured slopes',
    columns: ['line', 'unit', 'fixed', 'for each one more', 'measured to', 'points', 'fit'],
    rows: lines.map((line) => [
      line.name,
      line.unit,
      round(line.fixed),
      describe(line.drivers, line.slopes),
      describe(line.drivers, line.measuredTo),
      line.points.length,
      round(line.fit),
    ]),
  };
}

function roleTable(rows: CapacityRow[]): ReportTable {
  return {
    title: 'Roles at the size to come, as the code stands',
    columns: ['role', 'mechanism', 'cost', 'unit', 'limit', 'times limit', 'drawn out'],
    rows: rows.map((row) => [
      row.role,
      row.mechanism,
      round(row.cost),
      row.unit,
      row.limit ?? '-',
      row.limit === undefined ? '-' : round(timesLimit(row)),
      round(row.drawnOut),
    ]),
  };
}

function exceededLimitsTable(title: string, rows: CapacityRow[]): ReportTable {
  return {
    title,
    columns: ['role', 'mechanism', 'cost', 'unit', 'times limit'],
    rows: findExceededLimits(rows).map((row) => [
      row.role,
      row.mechanism,
      round(row.cost),
      row.unit,
      round(timesLimit(row)),
    ]),
  };
}

function describe(drivers: string[], values: Record<string, number>): string {
  return drivers.map((driver) => `${driver} ${round(entryOf(values, driver) ?? 0)}`).join(', ');
}

function round(value: number): number {
  return Number(value.toPrecision(DIGITS));
}
