/** Renders tables and times for operators' terminals. */

import Table from 'cli-table3';

/** A cell of a table. */
export type Cell = string | number | undefined;

/**
 * Renders rows under a heading line.
 *
 * @example renderTable(['account', 'left'], [['altan-shop', 1200]])
 */
export function renderTable(head: string[], rows: Cell[][]): string {
  const table = new Table({ head, style: { head: [], border: [] } });
  for (const row of rows) table.push(row.map((cell) => (cell === undefined ? '' : String(cell))));
  return table.toString();
}

/** Formats a time as an ISO 8601 string in UTC. */
export function formatTime(epochMs: number): string {
  return new Date(epochMs).toISOString();
}
