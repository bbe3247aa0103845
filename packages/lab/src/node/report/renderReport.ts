/** Renders the JSON files of runs as one self-contained HTML page with charts or as text tables. */

import type { ReportChart, ReportDocument, ReportTable } from '../../types/report.js';
import { readFile } from 'node:fs/promises';
import Table from 'cli-table3';
import * as echarts from 'echarts';
import { z } from 'zod';
import { reportDocumentSchema } from '../../types/report.js';
import { LabError } from '../../utils/labError.js';

const CHART_WIDTH = 860;
const CHART_HEIGHT = 340;
const STYLE =
  'body{font:15px/1.5 sans-serif;margin:2em auto;max-width:900px;padding:0 1em}' +
  'table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.2em .6em}' +
  'td.number{text-align:right}svg{max-width:100%;height:auto}';

const reportFileSchema = z.object({ report: reportDocumentSchema });

/**
 * Renders result files as one HTML page.
 *
 * @example
 * await writeFile('report.html', await renderReport(['reports/demo.json']));
 */
export async function renderReport(jsonFiles: readonly string[]): Promise<string> {
  return renderHtml(await Promise.all(jsonFiles.map(readReport)));
}

/** Reads the report of one file; throws `bad-report`, whose cause gives the reason. */
export async function readReport(file: string): Promise<ReportDocument> {
  try {
    return reportFileSchema.parse(JSON.parse(await readFile(file, 'utf8'))).report;
  } catch (err) {
    const message = `${file} is not a result file; make it with --json`;
    throw new LabError('bad-report', message, { cause: err });
  }
}

/** Renders documents as one page without external resources. */
export function renderHtml(documents: readonly ReportDocument[]): string {
  const sections = documents.map(renderSection).join('\n');
  return (
    '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">' +
    `<title>flamingocourse report</title><style>${STYLE}</style></head>\n` +
    `<body><h1>flamingocourse report</h1>\n${sections}\n</body></html>\n`
  );
}

/** Renders a document's tables for a terminal. */
export function renderText(document: ReportDocument): string {
  const tables = document.tables.map((table) => `${table.title}\n${textTable(table)}`);
  return [document.title, ...document.facts.map((fact) => `  ${fact}`), ...tables].join('\n');
}

function textTable({ columns, rows }: ReportTable): string {
  if (rows.length === 0) return '  none';
  const numeric = columns.map((_, at) => rows.every((row) => typeof row[at] === 'number'));
  const table = new Table({
    head: columns,
    colAligns: numeric.map((isNumber) => (isNumber ? 'right' : 'left')),
    style: { head: [], border: [], compact: true },
  });
  table.push(...rows);
  return table.toString();
}

function renderSection(document: ReportDocument): string {
  return [
    `<h2>${escapeHtml(document.title)}</h2>`,
    `<ul>${document.facts.map((fact) => `<li>${escapeHtml(fact)}</li>`).join('')}</ul>`,
    ...document.charts.map(renderChart),
    ...document.tables.map(htmlTable),
  ].join('\n');
}

function htmlTable({ title, columns, rows }: ReportTable): string {
  const head = columns.map((column) => `<th>${escapeHtml(column)}</th>`).join('');
  const body = rows.map((row) => `<tr>${row.map(htmlCell).join('')}</tr>`).join('\n');
  return `<h3>${escapeHtml(title)}</h3><table><tr>${head}</tr>\n${body}</table>`;
}

function htmlCell(cell: string | number): string {
  const style = typeof cell === 'number' ? ' class="number"' : '';
  return `<td${style}>${escapeHtml(String(cell))}</td>`;
}

function renderChart(chart: ReportChart): string {
  const size = { width: CHART_WIDTH, height: CHART_HEIGHT };
  const canvas = echarts.init(null, null, { renderer: 'svg', ssr: true, ...size });
  canvas.setOption({
    animation: false,
    title: { text: chart.title },
    legend: { bottom: 0 },
    grid: { top: 60, bottom: 70, left: 70, right: 20 },
    xAxis: { type: 'category', data: chart.categories },
    yAxis: { type: 'value', name: chart.unit },
    series: chart.series.map(({ name, values }) => ({ name, type: chart.type, data: values })),
  });
  const svg = canvas.renderToSVGString();
  canvas.dispose();
  return svg;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
