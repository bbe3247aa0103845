/**
 * Estimates the cost of each role at a given fleet size, for the current code: the measured cost
 * lines are extrapolated to that size and multiplied by how often the mechanism runs, which follows
 * from the default settings and the periods in the code.
 */

import type { CostLines } from './types.js';
import type { FleetSize, SizeShares } from './targetSize.js';
import { entryOf } from '@flamingocourse/core';
import { settingsDefaults } from '@flamingocourse/router';
import { costAt, extrapolation } from './costLine.js';
import { heartbeatTargetsOf } from './fleetCosts.js';
import { controlBudget, platformLimits, sharesOf } from './targetSize.js';

/** Cost of one mechanism in one role. */
export interface CapacityRow {
  role: string;
  mechanism: string;
  cost: number;
  unit: string;
  /** Limit of the cost; absent if the requirements set none. */
  limit?: number;
  /** Extrapolation factor beyond the largest measured value; 1 if not extrapolated. */
  drawnOut: number;
}

const MS_PER_SECOND = 1_000;
/** A router runs on one thread, which has 1,000 ms of processor time per second. */
const CORE_MS = 1_000;
/** Interval at which a router reads the journal; the period of the budget service. */
const JOURNAL_READ_SECONDS = 2;
/** Bills of an open segment when it reaches the size at which it is closed. */
const OPEN_BILLS = 667;
/** Journal lines of a typical request: its bill, and occasionally a take or a give. */
const LINES_PER_REQUEST = 1.2;
/** Platform calls of an operator's change: reads, the change and its audit entry. */
const CALLS_PER_CHANGE = 4;
/** Journal writes to seal a crashed router: one starts the sealing, one completes it. */
const WRITES_PER_SEAL = 2;
/** Longest outage in the requirements. */
const OUTAGE_SECONDS = 3_600;
/** Largest number of ledger pages that the settings permit. */
const MAX_PAGES = 1_024;

const commitsPerSecond = MS_PER_SECOND / settingsDefaults.budget.groupCommitMs;
const syncsPerSecond = MS_PER_SECOND / settingsDefaults.budget.ledgerSyncMs;

/**
 * Estimates the costs of all roles.
 *
 * @example
 * const rows = estimateCapacity(lines, targetSize);
 * const broken = rows.filter(({ cost, limit }) => limit !== undefined && cost > limit);
 */
export function estimateCapacity(lines: CostLines, size: FleetSize): CapacityRow[] {
  const sheet = new Sheet(lines, size);
  addEntryRouter(sheet);
  addControlOfEachRouter(sheet);
  addCommitter(sheet);
  addLedgerSync(sheet);
  addRelayAndWitness(sheet);
  addPlatform(sheet);
  return sheet.rows;
}

/** Returns the rows over their limits, sorted by how far they exceed them. */
export function findExceededLimits(rows: readonly CapacityRow[]): CapacityRow[] {
  return rows
    .filter((row) => timesLimit(row) > 1)
    .sort((one, other) => timesLimit(other) - timesLimit(one));
}

/** Returns the cost as a multiple of its limit; 0 without a limit. */
export function timesLimit({ cost, limit }: CapacityRow): number {
  return limit === undefined ? 0 : cost / limit;
}

/** Collects rows, and evaluates cost lines for one fleet size. */
class Sheet {
  readonly rows: CapacityRow[] = [];
  readonly size: FleetSize;
  readonly shares: SizeShares;
  readonly #lines: CostLines;
  #extrapolation = 1;

  constructor(lines: CostLines, size: FleetSize) {
    this.#lines = lines;
    this.size = size;
    this.shares = sharesOf(size);
  }

  /** Cost on a line; the next row records the extrapolation factor. */
  cost(name: string, values: Record<string, number>): number {
    this.#extrapolation = Math.max(this.#extrapolation, extrapolation(this.#lines, name, values));
    return costAt(this.#lines, name, values);
  }

  /** Cost on a line without its fixed part. */
  variableCost(name: string, values: Record<string, number>): number {
    return Math.max(0, this.cost(name, values) - costAt(this.#lines, name, {}));
  }

  /** Part of the cost that one driver causes. */
  driverCost(name: string, driver: string, value: number): number {
    this.#extrapolation = Math.max(
      this.#extrapolation,
      extrapolation(this.#lines, name, { [driver]: value }),
    );
    return (entryOf(this.#lines.get(name)?.slopes, driver) ?? 0) * value;
  }

  add(role: string, mechanism: string, cost: number, unit: string, limit?: number): void {
    const drawnOut = this.#extrapolation;
    this.#extrapolation = 1;
    this.rows.push({
      role,
      mechanism,
      cost,
      unit,
      drawnOut,
      ...(limit === undefined ? {} : { limit }),
    });
  }

  /** Adds a row that sums earlier rows, with the largest of their extrapolation factors. */
  addSum(role: string, mechanism: string, parts: string[], limit: number): void {
    const summed = this.rows.filter((row) => parts.includes(row.mechanism));
    this.#extrapolation = Math.max(...summed.map((row) => row.drawnOut));
    const cost = summed.reduce((sum, row) => sum + row.cost, 0);
    this.add(role, mechanism, cost, summed[0]?.unit ?? '', limit);
  }
}

const cpu = 'CPU ms/s';
const traffic = 'B/s';
const calls = 'calls/s';

function addEntryRouter(sheet: Sheet): void {
  const role = 'entry router';
  const { requestsPerNode, tokensPerNode, streamsPerNode } = sheet.shares;
  const work = { requests: requestsPerNode, tokens: tokensPerNode };
  sheet.add(
    role,
    'whole process: requests and tokens',
    sheet.cost('router.cpu', work),
    cpu,
    CORE_MS,
  );
  const streams = sheet.variableCost('router.streams', { streams: streamsPerNode });
  sheet.add(role, 'answers under way', streams, 'B');
  const servers = sheet.size.servers / sheet.size.services;
  const placement = sheet.cost('pool.placement', { servers });
  sheet.add(role, 'choice of a server', placement * requestsPerNode, cpu, CORE_MS);
  const step = sheet.cost('queue.step', { length: settingsDefaults.routing.maxQueue });
  sheet.add(role, 'full admission queue', step * requestsPerNode, cpu, CORE_MS);
}

function addControlOfEachRouter(sheet: Sheet): void {
  const role = 'every router, control';
  const { size, shares } = sheet;
  const { coreMsPerSecond, bytes, bytesPerSecond } = controlBudget;
  const targets = heartbeatTargetsOf(shares.nodesPerCentre, size.dataCentres);
  sheet.add(
    role,
    'heartbeats',
    sheet.cost('heartbeat.bytes', { targets }),
    traffic,
    bytesPerSecond,
  );
  sheet.add(role, 'heartbeats', sheet.cost('heartbeat.cpu', { targets }), cpu, coreMsPerSecond);
  const rest = sheet.cost('router.rest', { accounts: size.accounts });
  sheet.add(role, 'whole process at rest, 4 servers', rest, cpu, coreMsPerSecond);
  const probes = sheet.variableCost('router.probes', { servers: size.servers });
  sheet.add(role, 'load probes of all servers', probes, cpu, coreMsPerSecond);
  const objects = { objects: size.accounts };
  const perSecond = shares.changesPerSecond;
  const changeBytes = sheet.cost('change.bytes', objects) * perSecond;
  sheet.add(role, 'changes of configuration', changeBytes, traffic, bytesPerSecond);
  const changeCpu = sheet.cost('change.cpu', objects) * perSecond;
  sheet.add(role, 'changes of configuration', changeCpu, cpu, coreMsPerSecond);
  const declared = sheet.variableCost('router.accounts', { accounts: size.accounts });
  sheet.add(role, 'declarations and budgets in memory', declared, 'B', bytes);
  const journal = journalBytes(sheet, OPEN_BILLS) / JOURNAL_READ_SECONDS;
  sheet.add(role, 'journal read every 2 s', journal, traffic, bytesPerSecond);
  const answers = journalBytes(sheet, 0) * Math.min(shares.requestsPerNode, commitsPerSecond);
  sheet.add(role, 'journal in answers to lines', answers, traffic, bytesPerSecond);
  const ledger = ledgerBytes(sheet, size.budgets) * syncsPerSecond;
  sheet.add(role, 'ledger pages read each second', ledger, traffic, bytesPerSecond);
}

function addCommitter(sheet: Sheet): void {
  const role = 'committer of a data centre';
  const { size, shares } = sheet;
  const bytes = journalBytes(sheet, OPEN_BILLS);
  sheet.add(role, 'journal object', bytes, 'B', platformLimits.valueBytes);
  const commit = sheet.cost('journal.commit', {
    slices: shares.nodesPerCentre * size.accounts,
    accounts: size.accounts,
    bills: OPEN_BILLS,
    lines: (shares.requestsPerCentre * LINES_PER_REQUEST) / commitsPerSecond,
  });
  sheet.add(role, 'group commits', commit * commitsPerSecond, cpu, CORE_MS);
  const answers = journalBytes(sheet, 0) * Math.min(shares.requestsPerNode, commitsPerSecond);
  sheet.add(role, 'answers to all its peers', answers * shares.nodesPerCentre, traffic);
}

function addLedgerSync(sheet: Sheet): void {
  const role = 'treasurer of a ledger page';
  const { size, shares } = sheet;
  const { valueBytes } = platformLimits;
  sheet.add(role, 'page, 1 page (default)', ledgerBytes(sheet, size.budgets), 'B', valueBytes);
  const perPage = size.budgets / MAX_PAGES;
  sheet.add(role, 'page, 1,024 pages (most)', ledgerBytes(sheet, perPage), 'B', valueBytes);
  const sync = sheet.cost('ledger.sync', {
    shares: perPage * size.dataCentres,
    pairs: perPage * perPage,
  });
  const pagesPerNode = MAX_PAGES / shares.nodesPerCentre;
  const syncs = sync * pagesPerNode * syncsPerSecond;
  sheet.add(role, 'syncs, 1,024 pages', syncs, cpu, controlBudget.coreMsPerSecond);
}

function addRelayAndWitness(sheet: Sheet): void {
  const { size, shares } = sheet;
  const perNode = sheet.cost('change.bytes', { objects: size.accounts });
  const relayed = perNode * shares.nodesPerCentre * shares.changesPerSecond;
  const { bytes, bytesPerSecond } = controlBudget;
  sheet.add('relay of a data centre', 'changes told to all', relayed, traffic, bytesPerSecond);
  const lines = shares.requestsPerNode * LINES_PER_REQUEST * OUTAGE_SECONDS;
  const stored = sheet.driverCost('journal.bytes', 'bills', lines);
  sheet.add('witness', 'lines of one holder, 1 h of outage', stored, 'B', bytes);
}

function addPlatform(sheet: Sheet): void {
  const role = 'platform';
  const { size, shares } = sheet;
  const { nodes, dataCentres: centres, services } = size;
  const { readsPerSecond, writesPerSecond } = platformLimits;
  const fleet = { centres, routers: nodes };
  const lists = sheet.cost('calls.rest.instances', fleet) * services;
  sheet.add(role, 'instance lists, one a service and router', lists, calls, readsPerSecond);
  const gets = sheet.cost('calls.rest.get', fleet);
  sheet.add(role, 'reads of journal and one ledger page', gets, calls, readsPerSecond);
  const drains = sheet.cost('calls.rest.list', { centres, routers: 0 });
  sheet.add(role, 'reads of orders, one a data centre', drains, calls, readsPerSecond);
  sheet.add(role, 'waiting watches, one a data centre', centres, 'calls');
  sheet.add(
    role,
    'journal writes at full rate',
    centres * commitsPerSecond,
    calls,
    writesPerSecond,
  );
  const claims = claimWrites(sheet, size.requestsPerSecond);
  sheet.add(role, 'claims, if every request has a key', claims, calls, writesPerSecond);
  const pages = centres * syncsPerSecond;
  sheet.add(role, 'ledger writes, 1 page', pages, calls, writesPerSecond);
  sheet.add(role, 'ledger writes, 1,024 pages', pages * MAX_PAGES, calls, writesPerSecond);
  const seals = shares.restartsPerSecond * WRITES_PER_SEAL;
  sheet.add(role, 'sealing of dead routers', seals, calls, writesPerSecond);
  const changes = shares.changesPerSecond * CALLS_PER_CHANGE;
  sheet.add("operators' command", 'changes with their audits', changes, calls, writesPerSecond);
  const reads = [
    'instance lists, one a service and router',
    'reads of journal and one ledger page',
    'reads of orders, one a data centre',
  ];
  sheet.addSum(role, 'all reads', reads, readsPerSecond);
  const unkeyed = [
    'journal writes at full rate',
    'ledger writes, 1 page',
    'sealing of dead routers',
    'changes with their audits',
  ];
  sheet.addSum(role, 'all writes, 1 page, without keys', unkeyed, writesPerSecond);
}

/** Additional updates of claim pages that requests with a key cause. */
function claimWrites(sheet: Sheet, requests: number): number {
  const keyed = sheet.driverCost('calls.key.update', 'requests', requests);
  return Math.max(0, keyed - sheet.driverCost('calls.none.update', 'requests', requests));
}

/** Journal size; assumes that each router holds a slice of each account, as in steady use. */
function journalBytes(sheet: Sheet, bills: number): number {
  const holders = sheet.shares.nodesPerCentre;
  const { accounts } = sheet.size;
  return sheet.cost('journal.bytes', { holders, slices: holders * accounts, accounts, bills });
}

function ledgerBytes(sheet: Sheet, accounts: number): number {
  return sheet.cost('ledger.bytes', { accounts, shares: accounts * sheet.size.dataCentres });
}
