/** Settings of one router instance, after defaults. */

import type { DataCentreId } from '@flamingocourse/core';

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** All settings of a router; `resolveConfig` fills in what the file leaves out. */
export interface RouterSettings {
  /** Stable name of the instance, unique in its data centre. */
  instance: string;
  dataCentre: DataCentreId;
  /** Listener for callers. @default 127.0.0.1:8080 */
  entry: ListenAddress & {
    /** URL under which peers reach the entry. @default from host and port */
    publicUrl: string;
    /** @default 1048576 */
    maxBodyBytes: number;
    /** @default 2048 */
    maxConnections: number;
    /** Longest time that a caller may leave its answer unread. @default 10000 */
    slowReaderMs: number;
  };
  /** Listener for peers. @default 127.0.0.1:8081 */
  mesh: ListenAddress & {
    /** URL under which peers reach the mesh. @default from host and port */
    publicUrl: string;
    /** Mesh URLs of other routers, used when the instance list cannot be read. @default [] */
    seeds: string[];
    /** @default 500 */
    heartbeatMs: number;
    /** Silence after which a peer is suspect. @default 2000 */
    suspectMs: number;
    /** Silence after which a peer is taken as gone and its holder gets sealed. @default 4000 */
    goneMs: number;
  };
  platform: {
    url: string;
    /** @default 1500 */
    timeoutMs: number;
  };
  budget: {
    /** Pages of the ledger; the same for the whole deployment. @default 1 */
    ledgerPages: number;
    /** Pages of claims, some 4,000 keys each; the same for the whole deployment. @default 16 */
    claimPages: number;
    /** Time over which lines are gathered into one journal update. @default 50 */
    groupCommitMs: number;
    /** Wait for the journal before the witnesses are asked too. @default 60 */
    witnessAfterMs: number;
    /** Time between ledger updates of a data centre. @default 1000 */
    ledgerSyncMs: number;
    /** Longest wait for tokens to arrive before a refusal. @default 400 */
    reserveWaitMs: number;
  };
  routing: {
    /** Requests waiting per service before the queue sheds. @default 256 */
    maxQueue: number;
    /** @default 1000 */
    loadPollMs: number;
    /** Attempts of one idempotent request, the first included. @default 3 */
    maxAttempts: number;
  };
  /**
   * Secret that all routers of a deployment share: signs tickets and authenticates peers.
   * At least 16 characters.
   */
  fleetSecret: string;
  /** StatsD agent; metrics are dropped when absent. */
  statsd?: { host: string; port: number };
  /** @default 'info' */
  logLevel: 'error' | 'warn' | 'info' | 'debug';
  /** Longest time a graceful shutdown waits for requests in progress. @default 120000 */
  stopTimeoutMs: number;
}
