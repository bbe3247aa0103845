/** Metrics of the speeds that backend servers report. */

import type { EpochMs, ServerPool, ServiceName } from '@flamingocourse/core';
import type { GatewayMetrics } from './gatewayMetrics.js';

const MS_PER_SECOND = 1_000;

/**
 * Sets the gauges of one service; those of single servers would grow with each new server.
 *
 * @example
 * setSpeedMetrics(metrics, 'ledger', lane.pool, now);
 */
export function setSpeedMetrics(
  metrics: GatewayMetrics,
  service: ServiceName,
  pool: ServerPool,
  now: EpochMs,
): void {
  const reports = pool.speedReports(now);
  if (reports.length === 0) return;
  const labels = { service };
  const slowdowns = reports.map(({ slowdown }) => slowdown);
  const mean = slowdowns.reduce((sum, next) => sum + next, 0) / slowdowns.length;
  const oldestMs = Math.max(...reports.map(({ ageMs }) => ageMs));
  const countHelp = 'servers that have reported how fast they work';
  metrics.gauge('servers_reporting_speed', countHelp, reports.length, labels);
  const meanHelp = 'mean of the last reported slowdowns; 1 is the usual speed';
  metrics.gauge('server_slowdown_mean', meanHelp, mean, labels);
  const maxHelp = 'largest of the last reported slowdowns';
  metrics.gauge('server_slowdown_max', maxHelp, Math.max(...slowdowns), labels);
  const ageHelp = 'age of the oldest of these reports';
  metrics.gauge('server_speed_age_seconds', ageHelp, oldestMs / MS_PER_SECOND, labels);
}
