/** One backend server in a pool. */

import type { EpochMs } from '../../types/ids.js';
import type { BackendServer } from '../../types/member.js';
import type { ConcurrencyLimit } from './concurrencyLimit.js';
import type { ServerHealth, HealthSettings } from './serverHealth.js';
import type { AttemptResult } from '../../types/placement.js';
import type { Reachability, RestoredBy } from './reachability.js';
import { hash32 } from '../../utils/hash.js';
import { EnginePace } from './enginePace.js';
import type { LoadReport } from './loadEstimate.js';
import { LoadEstimate } from './loadEstimate.js';
import type { ServiceTiming } from './serverTiming.js';
import { ServerTiming } from './serverTiming.js';
import {
  REACHABLE,
  isReachable,
  recordProbeAnswer,
  recordSent,
  recordSilence,
} from './reachability.js';
import {
  createServerHealth,
  eject,
  healthShare,
  isSlowOutlier,
  recordAttempt,
} from './serverHealth.js';

/** Minimum time between two log lines about unreadable load reports of one server, in milliseconds. */
const INVALID_LOAD_LOG_MS = 60_000;

/** What the servers of a pool share. */
export interface SharedByServers {
  limit: ConcurrencyLimit;
  restoredBy: RestoredBy;
  timing: ServiceTiming;
}

/** State that a pool keeps for one server; not part of the public interface. */
export class ServerEntry {
  server: BackendServer;
  readonly idHash: number;
  readonly load = new LoadEstimate();
  readonly pace = new EnginePace();
  /** Lost with the server process. */
  timing: ServerTiming;
  listed = true;
  /** The server itself reported that it is leaving; the list cannot revoke this. */
  reportedLeaving = false;
  /** Until when another process than the listed one is assumed under its id. */
  replacedUntil: EpochMs = -Infinity;
  /** Number of the pool's last attempt that was sent to this server. */
  lastAttempt = 0;
  /** Whether a request that must run alone is in flight here. */
  exclusive = false;
  #health: ServerHealth = createServerHealth();
  #reach: Reachability = REACHABLE;
  #lastReceivedAt: EpochMs = -Infinity;
  /** When the path to the server last changed. */
  #pathChangedAt: EpochMs = -Infinity;
  #invalidLoadLoggedAt: EpochMs = -Infinity;
  readonly #shared: SharedByServers;

  constructor(server: BackendServer, shared: SharedByServers, now: EpochMs) {
    this.server = server;
    this.#shared = shared;
    this.idHash = hash32(server.id);
    this.timing = new ServerTiming(shared.timing);
    if (server.load) this.reportLoad(server.load, now);
  }

  get leaving(): boolean {
    return this.reportedLeaving || this.server.state === 'leaving' || !this.listed;
  }

  /** Whether the server can be reached, as far as is known. */
  reachable(now: EpochMs): boolean {
    return isReachable(this.#reach, now);
  }

  /** Whether it gets no requests before a probe is answered. */
  get awaitsProbe(): boolean {
    return this.#reach.awaitsProbe;
  }

  /** Records that something was received from the server. */
  recordReceived(now: EpochMs): void {
    this.#lastReceivedAt = now;
    this.#reach = REACHABLE;
  }

  /** Records that a request is being sent. */
  recordSent(now: EpochMs): void {
    this.#reach = recordSent(this.#reach, now);
  }

  /** Records that a connection did not open, or that nothing is received on open ones. */
  recordSilence(now: EpochMs): void {
    this.#reach = recordSilence(this.#reach, now, this.#shared.restoredBy);
  }

  /** Records that a probe of the server was answered. */
  recordProbeAnswer(): void {
    this.#reach = recordProbeAnswer(this.#reach);
  }

  /** Records that new connections take another path to the server, which is known to work. */
  recordPathChange(now: EpochMs): void {
    this.#reach = REACHABLE;
    this.#pathChangedAt = now;
  }

  /** Milliseconds for which requests in flight have received nothing from the server. */
  silentMs(now: EpochMs): number {
    // what waits on connections of an earlier path says nothing about the present one.
    const waitingSince = this.load.oldestStart(this.#pathChangedAt);
    if (waitingSince === undefined) return 0;
    return now - Math.max(waitingSince, this.#lastReceivedAt);
  }

  update(server: BackendServer, now: EpochMs): void {
    this.server = server;
    if (server.load) this.reportLoad(server.load, now);
  }

  /** Applies a load report of the server. */
  reportLoad(report: LoadReport, now: EpochMs): void {
    const others = this.load.report(report, now);
    if (others !== undefined) this.timing.report(report, others, now);
  }

  /** Whether to log that its load report can't be read: not again for a minute. */
  mayLogInvalidLoad(now: EpochMs): boolean {
    if (now - this.#invalidLoadLoggedAt < INVALID_LOAD_LOG_MS) return false;
    this.#invalidLoadLoggedAt = now;
    return true;
  }

  /** Records until when another process than the listed one is assumed; its timing is unknown. */
  recordReplaced(until: EpochMs): void {
    this.replacedUntil = until;
    this.timing = new ServerTiming(this.#shared.timing);
  }

  /** Current concurrency limit of the server; at least one, so that it can be probed. */
  capacity(settings: HealthSettings, now: EpochMs): number {
    const share = this.share(settings, now);
    return Math.max(1, Math.floor(this.#shared.limit.value * share));
  }

  share(settings: HealthSettings, now: EpochMs): number {
    return healthShare(this.#health, settings, now);
  }

  record(result: AttemptResult, settings: HealthSettings, now: EpochMs): void {
    const { end, firstTokenMs, targetMs } = result;
    if (end === 'leaving') this.reportedLeaving = true;
    this.#health = recordAttempt(this.#health, end, firstTokenMs, settings, now);
    if (targetMs === undefined) return;
    // timeouts count as well. With answers alone, a server so slow that almost nothing ends in time
    // would seem healthy: only its few fast answers would be counted, and its limit would stay too
    // high.
    if (end === 'timeout') this.#shared.limit.sample(Infinity, targetMs, now);
    if (end === 'ok' && firstTokenMs !== undefined)
      this.#shared.limit.sample(firstTokenMs, targetMs, now);
  }

  eject(settings: HealthSettings, now: EpochMs): void {
    this.#health = eject(this.#health, settings, now);
  }

  isSlowAmong(entries: ServerEntry[], settings: HealthSettings): boolean {
    const all = entries.map((entry) => entry.#health);
    return isSlowOutlier(this.#health, all, settings);
  }
}
