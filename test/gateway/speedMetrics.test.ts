import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ServerPool } from '@flamingocourse/core';
import { GatewayMetrics } from '../../packages/gateway/src/node/gatewayMetrics.js';
import { setSpeedMetrics } from '../../packages/gateway/src/node/speedMetrics.js';

const NOW = 1_000;

function poolWith(slowdowns: readonly (number | undefined)[]): ServerPool {
  const pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer: 4 });
  const listed = slowdowns.map((_, at) => {
    const id = `p${String(at)}`;
    return {
      service: 'ledger',
      id,
      dataCentre: 'dc-a',
      url: `http://${id}`,
      state: 'live',
    } as const;
  });
  pool.applyList(listed, 0);
  for (const [at, slowdown] of slowdowns.entries()) {
    const report = { running: 0, waiting: 0, at: 500 };
    const whole = slowdown === undefined ? report : { ...report, slowdown };
    pool.reportLoad(`p${String(at)}`, whole, 500);
  }
  return pool;
}

const cases = [
  { name: 'no server reports', slowdowns: [undefined, undefined], expected: [] },
  {
    name: 'two of three report',
    slowdowns: [1, undefined, 2.5],
    expected: [
      'flamingocourse_server_slowdown_max{service="ledger"} 2.5',
      'flamingocourse_server_slowdown_mean{service="ledger"} 1.75',
      'flamingocourse_server_speed_age_seconds{service="ledger"} 0.5',
      'flamingocourse_servers_reporting_speed{service="ledger"} 2',
    ],
  },
];
for (const { name, slowdowns, expected } of cases) {
  // Guards against a choice by speed that operators can't see, and against a speed that nobody reported.
  test(`metrics of reported speeds: ${name}`, async () => {
    const metrics = new GatewayMetrics();
    setSpeedMetrics(metrics, 'ledger', poolWith(slowdowns), NOW);
    const lines = (await metrics.text())
      .split('\n')
      .filter((line) => /^[^#]*(slowdown|speed)/.test(line));
    assert.deepEqual(lines.sort(), expected);
  });
}
