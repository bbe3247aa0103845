/** Documents that measurements and the demo leave behind, and the report shows. */

import { z } from 'zod';

const cellSchema = z.union([z.string(), z.number()]);

/** A table of figures. */
export const reportTableSchema = z.object({
  title: z.string(),
  columns: z.array(z.string()),
  rows: z.array(z.array(cellSchema)),
});

/** A bar or line chart; every series has one value for each category. */
export const reportChartSchema = z.object({
  title: z.string(),
  type: z.enum(['bar', 'line']).default('bar'),
  unit: z.string(),
  categories: z.array(z.string()),
  series: z.array(z.object({ name: z.string(), values: z.array(z.number()) })),
});

/** What one run shows. Files carry it in the member `report`, beside their raw figures. */
export const reportDocumentSchema = z.object({
  title: z.string(),
  /** How the run was made, such as its seed and length. */
  facts: z.array(z.string()).default([]),
  tables: z.array(reportTableSchema).default([]),
  charts: z.array(reportChartSchema).default([]),
});

export type ReportTable = z.infer<typeof reportTableSchema>;
export type ReportChart = z.infer<typeof reportChartSchema>;
export type ReportDocument = z.infer<typeof reportDocumentSchema>;
