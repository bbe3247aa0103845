import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { CapacityRow, CostLine, CostPoint, FleetSize } from '@flamingocourse/lab';
import {
  costAt,
  cpuMsPerCall,
  createCapacityReport,
  createRoutingReport,
  extrapolation,
  findExceededLimits,
  fitCostLine,
  median,
  readProcessUsage,
  reportDocumentSchema,
  sharesOf,
  targetSize,
  timesLimit,
  estimateCapacity,
} from '@flamingocourse/lab';

/** Every cost line that the model uses, with its drivers. */
const modelLines: Record<string, string[]> = {
  'router.cpu': ['requests', 'tokens'],
  'router.streams': ['streams'],
  'router.accounts': ['accounts'],
  'router.probes': ['servers'],
  'router.rest': ['accounts'],
  'pool.placement': ['servers'],
  'queue.step': ['length'],
  'heartbeat.bytes': ['targets'],
  'heartbeat.cpu': ['targets'],
  'change.bytes': ['objects'],
  'change.cpu': ['objects'],
  'journal.bytes': ['holders', 'slices', 'accounts', 'bills'],
  'journal.commit': ['slices', 'accounts', 'bills', 'lines'],
  'ledger.bytes': ['accounts', 'shares'],
  'ledger.sync': ['shares', 'pairs'],
  'calls.rest.instances': ['centres', 'routers'],
  'calls.rest.get': ['centres', 'routers'],
  'calls.rest.list': ['centres', 'routers'],
  'calls.none.update': ['centres', 'routers', 'requests'],
  'calls.key.update': ['centres', 'routers', 'requests'],
};

function lineOf(name: string, drivers: string[]): CostLine {
  const ones = Object.fromEntries(drivers.map((driver) => [driver, 1]));
  const base = { name, drivers, unit: 'B', points: [], fixed: 0, fit: 1 };
  return { ...base, slopes: ones, measuredTo: ones };
}

const lines = new Map(
  Object.entries(modelLines).map(([name, drivers]) => [name, lineOf(name, drivers)]),
);

describe('a cost line passes through its points', () => {
  const cases: { title: string; drivers: string[]; points: CostPoint[]; fixed: number }[] = [
    {
      title: 'one driver',
      drivers: ['nodes'],
      points: [8, 32, 128].map((nodes) => ({ at: { nodes }, cost: 5 + 3 * nodes })),
      fixed: 5,
    },
    {
      title: 'two drivers of very different size',
      drivers: ['requests', 'tokens'],
      points: [
        { at: { requests: 0, tokens: 0 }, cost: 7 },
        { at: { requests: 10, tokens: 80_000 }, cost: 7 + 20 + 80 },
        { at: { requests: 40, tokens: 20_000 }, cost: 7 + 80 + 20 },
        { at: { requests: 20, tokens: 90_000 }, cost: 7 + 40 + 90 },
      ],
      fixed: 7,
    },
  ];
  for (const { title, drivers, points, fixed } of cases) {
    test(title, () => {
      const line = fitCostLine({ name: 'x', unit: 'B', drivers, points });
      assert.ok(Math.abs(line.fixed - fixed) < 1e-6);
      assert.ok(line.fit > 0.999_999);
      for (const { at, cost } of points) {
        assert.ok(Math.abs(costAt(new Map([['x', line]]), 'x', at) - cost) < 1e-6);
      }
    });
  }
});

// A slope from two points, or from runs that never varied a driver, looks like any other one in the
// tables. The page would then state a figure that was never measured.
describe('a line that its points do not determine is refused', () => {
  const cases: { title: string; drivers: string[]; points: CostPoint[] }[] = [
    { title: 'two points', drivers: ['n'], points: [1, 2].map((n) => ({ at: { n }, cost: n })) },
    {
      title: 'a driver that never varies',
      drivers: ['n'],
      points: [1, 2, 3].map((cost) => ({ at: { n: 4 }, cost })),
    },
    {
      title: 'two drivers that always vary together',
      drivers: ['n', 'm'],
      points: [1, 2, 3, 4].map((n) => ({ at: { n, m: 2 * n }, cost: n })),
    },
  ];
  for (const { title, drivers, points } of cases) {
    test(title, () => {
      const fit = (): unknown => fitCostLine({ name: 'x', unit: 'B', drivers, points });
      assert.throws(fit, { code: 'too-few-points' });
    });
  }
});

test('the extrapolation of a line follows its most extrapolated driver', () => {
  const line = { ...lineOf('x', ['nodes', 'objects']), measuredTo: { nodes: 128, objects: 2_200 } };
  const far = extrapolation(new Map([['x', line]]), 'x', { nodes: 2_816, objects: 100 });
  assert.equal(far, 22);
  assert.equal(extrapolation(new Map([['x', line]]), 'x', { nodes: 8, objects: 100 }), 1);
});

test('median of a few values', () => {
  assert.equal(median([9, 1, 5]), 5);
  assert.equal(median([1, 2, 4, 100]), 3);
});

test('a fleet size is divided by its nodes and data centres', () => {
  const shares = sharesOf(targetSize);
  assert.equal(Math.round(shares.nodesPerCentre), 127);
  assert.equal(Math.round(shares.streamsPerNode), 206);
});

test('costs grow with the fleet, and breaks are sorted with the worst first', () => {
  const half: FleetSize = { ...targetSize, nodes: 1_400, requestsPerSecond: 25_500 };
  const costOf = (size: FleetSize, mechanism: string): number =>
    estimateCapacity(lines, size).find((row) => row.mechanism === mechanism)?.cost ?? NaN;
  const lists = 'instance lists, one a service and router';
  assert.ok(costOf(targetSize, lists) > 1.9 * costOf(half, lists));
  const breaks = findExceededLimits(estimateCapacity(lines, targetSize)).map(timesLimit);
  assert.ok(breaks.length > 0 && breaks.every((times) => times > 1));
  assert.deepEqual(
    breaks,
    breaks.toSorted((a, b) => b - a),
  );
});

test('a row without a limit never breaks', () => {
  const row: CapacityRow = { role: 'r', mechanism: 'm', cost: 1e12, unit: 'B', drawnOut: 1 };
  assert.deepEqual(findExceededLimits([row]), []);
});

test('the reports of capacity and routing match the report schema', () => {
  assert.equal(reportDocumentSchema.parse(createCapacityReport(lines, 1)).tables.length, 4);
  const times = { targetMet: 0.5, p50: 1, p95: 2, p99: 3, refusals: {} };
  const item = { workClass: 'drafts', offered: 10, answered: 9, ...times };
  const row = { policy: 'chosen', classes: [item], usefulTokensPerSecond: 1, cacheHits: 0 };
  const rows = ['load 1.0', 'load 1.5'].map((scenario) => ({ ...row, scenario }));
  const report = reportDocumentSchema.parse(createRoutingReport('seed 1', rows));
  assert.deepEqual(report.tables[1]?.rows, [['chosen', 'drafts', 50, 90, 1, 2, 3, 1]]);
});

test('usage is read for this process and rejected for an unknown process id', async () => {
  const { cpuMs, residentBytes } = await readProcessUsage(process.pid);
  assert.ok(cpuMs > 0 && residentBytes > 1_000_000);
  await assert.rejects(readProcessUsage(2 ** 30), { code: 'no-usage' });
  assert.ok(cpuMsPerCall(() => JSON.stringify([...Array(1_000).keys()])) > 0);
});
