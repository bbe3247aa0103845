/** Fits cost lines to measured points by least squares. */

import type { CostLine, CostLines, CostPoint } from './types.js';
import { entryOf } from '@flamingocourse/core';
import { LabError } from '../../utils/labError.js';

/** A pivot below this value means that the column depends linearly on the others. */
const MIN_PIVOT = 1e-9;

/** Minimum number of points for a meaningful slope. */
const MIN_POINTS = 3;

/** Input of {@link fitCostLine}. */
export type CostLineOptions = Pick<CostLine, 'name' | 'unit' | 'drivers' | 'points'>;

/**
 * Fits a line. Throws `too-few-points` for fewer than three points, or if the runs did not vary
 * every driver.
 *
 * @example
 * const line = fitCostLine({ name: 'queue.offer', unit: 'µs', drivers: ['length'], points });
 * line.slopes.length; // microseconds per waiting request
 */
export function fitCostLine(options: CostLineOptions): CostLine {
  const { name, drivers, points } = options;
  if (points.length < Math.max(MIN_POINTS, drivers.length + 1)) throw tooFewPoints(name);
  const scales = drivers.map((driver) => largest(points, driver) || 1);
  const rows = points.map(({ at }) => [
    1,
    ...drivers.map((driver, i) => (entryOf(at, driver) ?? 0) / (scales[i] ?? 1)),
  ]);
  const costs = points.map(({ cost }) => cost);
  const solution = solve(normalEquations(rows, costs));
  if (!solution) throw tooFewPoints(name);
  const [fixed = 0, ...scaled] = solution;
  const slopes = drivers.map((driver, i) => [driver, (scaled[i] ?? 0) / (scales[i] ?? 1)]);
  const predicted = rows.map((row) => sumOf(row.map((value, i) => value * (solution[i] ?? 0))));
  return {
    ...options,
    fixed,
    slopes: Object.fromEntries(slopes) as Record<string, number>,
    fit: coefficientOfDetermination(costs, predicted),
    measuredTo: Object.fromEntries(drivers.map((driver) => [driver, largest(points, driver)])),
  };
}

/**
 * Returns the cost on a line at the given values of its drivers; never below zero. Throws
 * `too-few-points` if the line was not measured.
 *
 * @example
 * costAt(lines, 'heartbeat.bytes', { targets: 11 });
 */
export function costAt(lines: CostLines, name: string, at: Record<string, number>): number {
  const line = lines.get(name);
  if (!line) throw new LabError('too-few-points', `"${name}" was not measured`);
  const parts = line.drivers.map(
    (driver) => (entryOf(line.slopes, driver) ?? 0) * (entryOf(at, driver) ?? 0),
  );
  return Math.max(0, line.fixed + sumOf(parts));
}

/** Returns the largest ratio of a driver's value to its largest measured value; at least 1. */
export function extrapolation(lines: CostLines, name: string, at: Record<string, number>): number {
  const line = lines.get(name);
  if (!line) return Infinity;
  const factors = line.drivers.map(
    (driver) => (entryOf(at, driver) ?? 0) / (entryOf(line.measuredTo, driver) ?? 1),
  );
  return Math.max(1, ...factors);
}

/** Median; for an even number of values, the mean of the two middle ones. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return (upper + lower) / 2;
}

function tooFewPoints(name: string): LabError {
  const message = `"${name}" needs at least three points in which every driver varies`;
  return new LabError('too-few-points', message);
}

function largest(points: readonly CostPoint[], driver: string): number {
  return Math.max(...points.map(({ at }) => entryOf(at, driver) ?? 0));
}

/** Returns the augmented matrix of the normal equations; the last column is the right side. */
function normalEquations(rows: readonly number[][], costs: readonly number[]): number[][] {
  const width = rows[0]?.length ?? 0;
  return Array.from({ length: width }, (_, i) => [
    ...Array.from({ length: width }, (__, j) => sumOf(rows.map((row) => at(row, i) * at(row, j)))),
    sumOf(rows.map((row, k) => at(row, i) * at(costs, k))),
  ]);
}

/** Gaussian elimination with pivoting; returns `undefined` for a singular matrix. */
function solve(equations: number[][]): number[] | undefined {
  const size = equations.length;
  const matrix = equations.map((row) => [...row]);
  for (let column = 0; column < size; column += 1) {
    const rest = matrix.slice(column);
    const pivot = rest.reduce((a, b) => (magnitude(b, column) > magnitude(a, column) ? b : a));
    if (magnitude(pivot, column) < MIN_PIVOT) return undefined;
    matrix.splice(matrix.indexOf(pivot), 1);
    matrix.splice(column, 0, pivot);
    for (const row of matrix) {
      if (row !== pivot) subtract(row, pivot, at(row, column) / at(pivot, column));
    }
  }
  return matrix.map((row, i) => at(row, size) / at(row, i));
}

function subtract(row: number[], other: readonly number[], times: number): void {
  other.forEach((value, i) => {
    row[i] = at(row, i) - value * times;
  });
}

function coefficientOfDetermination(
  costs: readonly number[],
  predicted: readonly number[],
): number {
  const mean = sumOf(costs) / costs.length;
  const total = sumOf(costs.map((cost) => (cost - mean) ** 2));
  const residual = sumOf(costs.map((cost, i) => (cost - at(predicted, i)) ** 2));
  return total === 0 ? 1 : 1 - residual / total;
}

function magnitude(row: readonly number[], column: number): number {
  return Math.abs(at(row, column));
}

function at(values: readonly number[], index: number): number {
  return values[index] ?? 0;
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
