/** Schema of the documents that measurements and the demo write and the report command renders. */

import { z } from 'zod';

const cellSchema = z.union([z.string(), z.number()]);

/** A table of figures. */
export const reportTableSchema = z.object({
  title: z.string(),
  columns: z.array(z.string()),
  rows: z.array(z.array(cellSchema)),
});

/** A bar or line chart; each series has one value per category. */
export const reportChartSchema = z.object({
  title: z.string(),
  type: z.enum(['bar', 'line']).default('bar'),
  unit: z.string(),
  categories: z.array(z.string()),
  series: z.array(z.object({ name: z.string(), values: z.array(z.number()) })),
});

/** Report of one run. Result files contain it in the field `report`, next to the raw figures. */
export const reportDocumentSchema = z.object({
  title: z.string(),
  /** Conditions of the run, such as its seed and duration. */
  facts: z.array(z.string()).default([]),
  tables: z.array(reportTableSchema).default([]),
  charts: z.array(reportChartSchema).default([]),
});

export type ReportTable = z.infer<typeof reportTableSchema>;
export type ReportChart = z.infer<typeof reportChartSchema>;
export type ReportDocument = z.infer<typeof reportDocumentSchema>;
