/**
 * What each role costs at a given size, as the code stands: measured lines, drawn out to that size,
 * times how often the settings and periods in the code let the mechanism run.
 */

import type { CostLines } from './types.js';
import type { FleetSize, SizeShares } from './targetSize.js';
import { settingsDefaults } from '@flamingocourse/router';
import { costAt, extrapolation } from './costLine.js';
import { heartbeatTargetsOf } from './fleetCosts.js';
import { controlBudget, platformLimits, sharesOf } from './targetSize.js';

/** One mechanism's cost in one role. */
export interface CapacityRow {
  role: string;
  mechanism: string;
  cost: number;
  unit: string;
  /** What it may cost; absent where the letter sets no limit. */
  limit?: number;
  /** How many times beyond its measured values a line was drawn; 1 where it was not. */
  drawnOut: number;
}

const MS_PER_SECOND = 1_000;
/** One router is one thread. */
const CORE_MS = 1_000;
/** Age at which a router reads the journal again; the period of the budget service. */
const JOURNAL_READ_SECONDS = 2;
/** Bills of an open segment before it is closed, at the size that closes it. */
const OPEN_BILLS = 667;
/** Lines of an ordinary request: its bill, and now and then a take or a give. */
const LINES_PER_REQUEST = 1.2;
/** Calls of an operator's change: reads, the change, its audit. */
const CALLS_PER_CHANGE = 4;
/** Journal writes that settle a dead router: one begins to seal it, one ends it. */
const WRITES_PER_SEAL = 2;
/** Longest outage that the letter names. */
const OUTAGE_SECONDS = 3_600;
/** Most pages that the settings permit. */
const MOST_PAGES = 1_024;

const commitsPerSecond = MS_PER_SECOND / settingsDefaults.budget.groupCommitMs;
const syncsPerSecond = MS_PER_SECOND / settingsDefaults.budget.ledgerSyncMs;

/**
 * Works out all rows.
 *
 * @example
 * const rows = workOutCapacity(lines, targetSize);
 * const broken = rows.filter(({ cost, limit }) => limit !== undefined && cost > limit);
 */
export function workOutCapacity(lines: CostLines, size: FleetSize): CapacityRow[] {
  const sheet = new Sheet(lines, size);
  addEntryRouter(sheet);
  addControlOfEachRouter(sheet);
  addCommitter(sheet);
  addTreasurer(sheet);
  addRelayAndWitness(sheet);
  addPlatform(sheet);
  return sheet.rows;
}

/** Rows over their limits, the worst first: what breaks first as the fleet grows. */
export function findBreaks(rows: readonly CapacityRow[]): CapacityRow[] {
  return rows
    .filter((row) => timesLimit(row) > 1)
    .sort((one, other) => timesLimit(other) - timesLimit(one));
}

/** Cost as a multiple of its limit; 0 without one. */
export function timesLimit({ cost, limit }: CapacityRow): number {
  return limit === undefined ? 0 : cost / limit;
}

/** Collects rows, and looks lines up at the values of one size. */
class Sheet {
  readonly rows: CapacityRow[] = [];
  readonly size: FleetSize;
  readonly shares: SizeShares;
  readonly #lines: CostLines;
  #drawnOut = 1;

  constructor(lines: CostLines, size: FleetSize) {
    this.#lines = lines;
    this.size = size;
    this.shares = sharesOf(size);
  }

  /** Cost along a line; the next row notes how far it was drawn out. */
  at(name: string, values: Record<string, number>): number {
    this.#drawnOut = Math.max(this.#drawnOut, extrapolation(this.#lines, name, values));
    return costAt(this.#lines, name, values);
  }

  /** The part of a cost that comes from the drivers, without the fixed part. */
  above(name: string, values: Record<string, number>): number {
    return Math.max(0, this.at(name, values) - costAt(this.#lines, name, {}));
  }

  /** The part of a cost that comes from one driver alone. */
  part(name: string, driver: string, value: number): number {
    this.#drawnOut = Math.max(
      this.#drawnOut,
      extrapolation(this.#lines, name, { [driver]: value }),
    );
    return (this.#lines.get(name)?.slopes[driver] ?? 0) * value;
  }

  add(role: string, mechanism: string, cost: number, unit: string, limit?: number): void {
    const drawnOut = this.#drawnOut;
    this.#drawnOut = 1;
    this.rows.push({
      role,
      mechanism,
      cost,
      unit,
      drawnOut,
      ...(limit === undefined ? {} : { limit }),
    });
  }

  /** A row that sums earlier ones, and is drawn out as far as the farthest of them. */
  addSum(role: string, mechanism: string, parts: string[], limit: number): void {
    const summed = this.rows.filter((row) => parts.includes(row.mechanism));
    this.#drawnOut = Math.max(...summed.map((row) => row.drawnOut));
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
  sheet.add(role, 'whole process: requests and tokens', sheet.at('router.cpu', work), cpu, CORE_MS);
  const streams = sheet.above('router.streams', { streams: streamsPerNode });
  sheet.add(role, 'answers under way', streams, 'B');
  const servers = sheet.size.servers / sheet.size.services;
  const placement = sheet.at('pool.placement', { servers });
  sheet.add(role, 'choice of a server', placement * requestsPerNode, cpu, CORE_MS);
  const step = sheet.at('queue.step', { length: settingsDefaults.routing.maxQueue });
  sheet.add(role, 'full admission queue', step * requestsPerNode, cpu, CORE_MS);
}

function addControlOfEachRouter(sheet: Sheet): void {
  const role = 'every router, control';
  const { size, shares } = sheet;
  const { coreMsPerSecond, bytes, bytesPerSecond } = controlBudget;
  const targets = heartbeatTargetsOf(shares.nodesPerCentre, size.dataCentres);
  sheet.add(role, 'heartbeats', sheet.at('heartbeat.bytes', { targets }), traffic, bytesPerSecond);
  sheet.add(role, 'heartbeats', sheet.at('heartbeat.cpu', { targets }), cpu, coreMsPerSecond);
  const rest = sheet.at('router.rest', { accounts: size.accounts });
  sheet.add(role, 'whole process at rest, 4 servers', rest, cpu, coreMsPerSecond);
  const probes = sheet.above('router.probes', { servers: size.servers });
  sheet.add(role, 'load probes of all servers', probes, cpu, coreMsPerSecond);
  const objects = { objects: size.accounts };
  const perSecond = shares.changesPerSecond;
  const changeBytes = sheet.at('change.bytes', objects) * perSecond;
  sheet.add(role, 'changes of configuration', changeBytes, traffic, bytesPerSecond);
  const changeCpu = sheet.at('change.cpu', objects) * perSecond;
  sheet.add(role, 'changes of configuration', changeCpu, cpu, coreMsPerSecond);
  const declared = sheet.above('router.accounts', { accounts: size.accounts });
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
  const commit = sheet.at('journal.commit', {
    slices: shares.nodesPerCentre * size.accounts,
    accounts: size.accounts,
    bills: OPEN_BILLS,
    lines: (shares.requestsPerCentre * LINES_PER_REQUEST) / commitsPerSecond,
  });
  sheet.add(role, 'group commits', commit * commitsPerSecond, cpu, CORE_MS);
  const answers = journalBytes(sheet, 0) * Math.min(shares.requestsPerNode, commitsPerSecond);
  sheet.add(role, 'answers to all its peers', answers * shares.nodesPerCentre, traffic);
}

function addTreasurer(sheet: Sheet): void {
  const role = 'treasurer of a ledger page';
  const { size, shares } = sheet;
  const { valueBytes } = platformLimits;
  sheet.add(role, 'page, 1 page (default)', ledgerBytes(sheet, size.budgets), 'B', valueBytes);
  const perPage = size.budgets / MOST_PAGES;
  sheet.add(role, 'page, 1,024 pages (most)', ledgerBytes(sheet, perPage), 'B', valueBytes);
  const sync = sheet.at('ledger.sync', {
    shares: perPage * size.dataCentres,
    pairs: perPage * perPage,
  });
  const pagesPerNode = MOST_PAGES / shares.nodesPerCentre;
  const syncs = sync * pagesPerNode * syncsPerSecond;
  sheet.add(role, 'syncs, 1,024 pages', syncs, cpu, controlBudget.coreMsPerSecond);
}

function addRelayAndWitness(sheet: Sheet): void {
  const { size, shares } = sheet;
  const perNode = sheet.at('change.bytes', { objects: size.accounts });
  const relayed = perNode * shares.nodesPerCentre * shares.changesPerSecond;
  const { bytes, bytesPerSecond } = controlBudget;
  sheet.add('relay of a data centre', 'changes told to all', relayed, traffic, bytesPerSecond);
  const lines = shares.requestsPerNode * LINES_PER_REQUEST * OUTAGE_SECONDS;
  const kept = sheet.part('journal.bytes', 'bills', lines);
  sheet.add('witness', 'lines of one holder, 1 h of outage', kept, 'B', bytes);
}

function addPlatform(sheet: Sheet): void {
  const role = 'platform';
  const { size, shares } = sheet;
  const { nodes, dataCentres: centres, services } = size;
  const { readsPerSecond, writesPerSecond } = platformLimits;
  const fleet = { centres, routers: nodes };
  const lists = sheet.at('calls.rest.instances', fleet) * services;
  sheet.add(role, 'instance lists, one a service and router', lists, calls, readsPerSecond);
  const gets = sheet.at('calls.rest.get', fleet);
  sheet.add(role, 'reads of journal and one ledger page', gets, calls, readsPerSecond);
  const drains = sheet.at('calls.rest.list', { centres, routers: 0 });
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
  sheet.add(role, 'ledger writes, 1,024 pages', pages * MOST_PAGES, calls, writesPerSecond);
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

/** Updates of claim pages that requests with a key add to those of requests without. */
function claimWrites(sheet: Sheet, requests: number): number {
  const keyed = sheet.part('calls.key.update', 'requests', requests);
  return Math.max(0, keyed - sheet.part('calls.none.update', 'requests', requests));
}

/** Every router comes to hold a slice of every account in steady use. */
function journalBytes(sheet: Sheet, bills: number): number {
  const holders = sheet.shares.nodesPerCentre;
  const { accounts } = sheet.size;
  return sheet.at('journal.bytes', { holders, slices: holders * accounts, accounts, bills });
}

function ledgerBytes(sheet: Sheet, accounts: number): number {
  return sheet.at('ledger.bytes', { accounts, shares: accounts * sheet.size.dataCentres });
}
