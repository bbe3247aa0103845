/** Fleet sizes of the capacity model, and values derived from them. */

/** Size of a fleet and its load, as far as costs depend on them. */
export interface FleetSize {
  nodes: number;
  dataCentres: number;
  servers: number;
  requestsPerSecond: number;
  tokensPerSecond: number;
  budgets: number;
  accounts: number;
  services: number;
  changesPerDay: number;
  /** Instances that fail, restart or are replaced. */
  restartsPerDay: number;
  /** Milliseconds between two tokens of a stream. */
  tokenGapMs: number;
}

/** Size that the users expect within two years. */
export const targetSize: FleetSize = {
  nodes: 2_800,
  dataCentres: 22,
  servers: 10_000,
  requestsPerSecond: 51_000,
  tokensPerSecond: 18_000_000,
  budgets: 46_000,
  accounts: 2_200,
  services: 34,
  changesPerDay: 15_000,
  restartsPerDay: 210 + 940,
  tokenGapMs: 32,
};

/** The larger of today's deployments, with the load of the demo, as its real load is unknown. */
export const todaySize: FleetSize = {
  nodes: 8,
  dataCentres: 4,
  servers: 10,
  requestsPerSecond: 30,
  tokensPerSecond: 1_000,
  budgets: 10,
  accounts: 10,
  services: 2,
  changesPerDay: 20,
  restartsPerDay: 2,
  tokenGapMs: 32,
};

/** Limits of the cost of control traffic per node. */
export const controlBudget = { coreMsPerSecond: 26, bytes: 64_000_000, bytesPerSecond: 2_000 };

/** Limits of the platform. */
export const platformLimits = {
  readsPerSecond: 2_000,
  /** The requirement says "several hundred". */
  writesPerSecond: 400,
  valueBytes: 1_000_000,
};

const SECONDS_PER_DAY = 86_400;
const MS_PER_SECOND = 1_000;

/** Values per node, per data centre and per second. */
export interface SizeShares {
  nodesPerCentre: number;
  serversPerCentre: number;
  requestsPerNode: number;
  tokensPerNode: number;
  /** Concurrent answers at one node. */
  streamsPerNode: number;
  requestsPerCentre: number;
  changesPerSecond: number;
  restartsPerSecond: number;
}

/**
 * Divides a size evenly among its nodes and data centres.
 *
 * @example
 * sharesOf(targetSize).nodesPerCentre; // 127.3
 */
export function sharesOf(size: FleetSize): SizeShares {
  const tokensPerNode = size.tokensPerSecond / size.nodes;
  return {
    nodesPerCentre: size.nodes / size.dataCentres,
    serversPerCentre: size.servers / size.dataCentres,
    requestsPerNode: size.requestsPerSecond / size.nodes,
    tokensPerNode,
    streamsPerNode: (tokensPerNode * size.tokenGapMs) / MS_PER_SECOND,
    requestsPerCentre: size.requestsPerSecond / size.dataCentres,
    changesPerSecond: size.changesPerDay / SECONDS_PER_DAY,
    restartsPerSecond: size.restartsPerDay / SECONDS_PER_DAY,
  };
}
