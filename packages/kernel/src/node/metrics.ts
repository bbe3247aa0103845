/** Metrics, sent with hot-shots (StatsD over UDP). */

import type { MetricName } from '../runtime/metricCatalogue.js';
import { StatsD } from 'hot-shots';

export type MetricTags = Record<string, string>;

/** Sink for metrics. */
export abstract class Metrics {
  abstract count(name: MetricName, by?: number, tags?: MetricTags): void;
  abstract gauge(name: MetricName, value: number, tags?: MetricTags): void;
  abstract timing(name: MetricName, ms: number, tags?: MetricTags): void;
  abstract close(): Promise<void>;
}

/** Options of {@link StatsdMetrics}. */
export interface StatsdOptions {
  host: string;
  port: number;
  tags?: MetricTags;
}

/** Sends metrics to a StatsD agent. Lost datagrams and a missing agent are ignored. */
export class StatsdMetrics extends Metrics {
  readonly #client: StatsD;

  constructor(options: StatsdOptions) {
    super();
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'flamingocourse.',
      globalTags: options.tags ?? {},
      maxBufferSize: 1_200,
      bufferFlushInterval: 1_000,
      errorHandler: () => undefined,
    });
  }

  override count(name: MetricName, by = 1, tags: MetricTags = {}): void {
    this.#client.increment(name, by, tags);
  }

  override gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    this.#client.gauge(name, value, tags);
  }

  override timing(name: MetricName, ms: number, tags: MetricTags = {}): void {
    this.#client.timing(name, ms, tags);
  }

  override close(): Promise<void> {
    return new Promise((resolve) => {
      this.#client.close(() => {
        resolve();
      });
    });
  }
}

/** Drops all metrics; used when no agent is configured. */
export class NoMetrics extends Metrics {
  override count(): void {
    // nothing is configured to receive it
  }
  override gauge(): void {
    // nothing is configured to receive it
  }
  override timing(): void {
    // nothing is configured to receive it
  }
  override async close(): Promise<void> {
    // nothing to flush
  }
}
