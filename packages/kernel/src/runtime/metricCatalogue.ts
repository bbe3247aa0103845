/** Names of all metrics. docs/METRICS.md lists the same names; a test compares both. */

export type MetricType = 'counter' | 'gauge' | 'timing';

/** Definition of one metric. */
export interface MetricDefinition {
  type: MetricType;
  /** Unit in words. */
  unit: string;
  text: string;
}

/** Every metric of the product, by name; all are sent with the prefix `flamingocourse.`. */
export const metricCatalogue = {
  'requests.answered': { type: 'counter', unit: 'requests', text: 'whole answers given' },
  'requests.refused': { type: 'counter', unit: 'requests', text: 'refusals, tagged by reason' },
} as const satisfies Record<string, MetricDefinition>;

export type MetricName = keyof typeof metricCatalogue;
