/** Settings of one router instance, with defaults filled in. */

import type { DataCentreId } from '@flamingocourse/core';

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** All settings of a router; `resolveConfig` fills in what the file leaves out. */
export interface RouterSettings {
  /** Stable name of the instance, unique within its data centre. */
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
    /** Longest time in milliseconds that a caller may leave its answer unread. @default 10000 */
    slowReaderMs: number;
  };
  /** Listener for peers. @default 127.0.0.1:8081 */
  mesh: ListenAddress & {
    /** URL under which peers reach the mesh. @default from host and port */
    publicUrl: string;
    /** Mesh URLs of other routers, used when the instance list cannot be read. @default [] */
    seeds: string[];
    /** Milliseconds between heartbeats. @default 1000 */
    heartbeatMs: number;
    /** Milliseconds without a heartbeat after which a peer is suspect. @default 2500 */
    suspectMs: number;
    /**
     * Milliseconds without a heartbeat after which a peer counts as gone and its holder is sealed.
     * @default 5000
     */
    goneMs: number;
  };
  platform: {
    url: string;
    /** Longest wait for a reply of the platform, in milliseconds. @default 1500 */
    timeoutMs: number;
  };
  budget: {
    /** Number of ledger pages; the same for the whole deployment. @default 1 */
    ledgerPages: number;
    /**
     * Number of claim pages, about 4,000 keys each; the same for the whole deployment.
     * @default 16
     */
    claimPages: number;
    /** Milliseconds over which lines are collected for one journal update. @default 50 */
    groupCommitMs: number;
    /** Milliseconds to wait for the journal before also asking the witnesses. @default 60 */
    witnessAfterMs: number;
    /** Milliseconds between ledger updates of a data centre. @default 1000 */
    ledgerSyncMs: number;
    /** Longest wait for tokens before a request is refused, in milliseconds. @default 400 */
    reserveWaitMs: number;
  };
  routing: {
    /** Most requests that wait per service before the queue sheds load. @default 256 */
    maxQueue: number;
    /** Milliseconds between load probes, and between reads of the instance lists. @default 1000 */
    loadPollMs: number;
    /** Most attempts of one idempotent request, including the first. @default 3 */
    maxAttempts: number;
  };
  /**
   * Secret that all routers of a deployment share. It signs tickets and authenticates peers.
   * At least 16 characters.
   */
  fleetSecret: string;
  /** StatsD agent; metrics are dropped when absent. */
  statsd?: { host: string; port: number };
  /** @default 'info' */
  logLevel: 'error' | 'warn' | 'info' | 'debug';
  /**
   * Longest time in milliseconds that a graceful shutdown waits for requests in progress.
   * @default 120000
   */
  stopTimeoutMs: number;
}
