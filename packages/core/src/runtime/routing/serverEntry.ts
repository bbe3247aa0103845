/** One backend server in a pool. */

import type { EpochMs } from '../../types/ids.js';
import type { BackendServer } from '../../types/member.js';
import type { ConcurrencyLimit } from './concurrencyLimit.js';
import type { ServerHealth, HealthSettings } from './serverHealth.js';
import type { AttemptResult } from '../../types/placement.js';
import type { Reachability } from './reachability.js';
import { hash32 } from '../../utils/hash.js';
import { EnginePace } from './enginePace.js';
import { LoadEstimate } from './loadEstimate.js';
import { REACHABLE, isReachable, recordSent, recordSilence } from './reachability.js';
import {
  createServerHealth,
  eject,
  healthShare,
  isSlowOutlier,
  recordAttempt,
} from './serverHealth.js';

/** State that a pool keeps about one server; not part of the public interface. */
export class ServerEntry {
  server: BackendServer;
  readonly idHash: number;
  readonly load = new LoadEstimate();
  readonly pace = new EnginePace();
  listed = true;
  /** The server itself said that it leaves; the list cannot take this back. */
  saidLeaving = false;
  /** Number of the pool's attempt that was last sent here. */
  lastAttempt = 0;
  /** A request that has to run alone is in flight here. */
  exclusive = false;
  #health: ServerHealth = createServerHealth();
  #reach: Reachability = REACHABLE;
  #heardAt: EpochMs = -Infinity;
  /** Shared by all servers of the pool. */
  readonly #limit: ConcurrencyLimit;

  constructor(server: BackendServer, limit: ConcurrencyLimit, now: EpochMs) {
    this.server = server;
    this.idHash = hash32(server.id);
    this.#limit = limit;
    if (server.load) this.load.report(server.load, now);
  }

  get leaving(): boolean {
    return this.saidLeaving || this.server.state === 'leaving' || !this.listed;
  }

  /** Whether requests to it arrive, as far as is known. */
  reachable(now: EpochMs): boolean {
    return isReachable(this.#reach, now);
  }

  /** Something came from the server. */
  heard(now: EpochMs): void {
    this.#heardAt = now;
    this.#reach = REACHABLE;
  }

  /** A request is being sent. */
  sent(now: EpochMs): void {
    this.#reach = recordSent(this.#reach, now);
  }

  /** A connection did not open, or nothing comes on open ones. */
  silent(now: EpochMs): void {
    this.#reach = recordSilence(this.#reach, now);
  }

  /** Milliseconds for which requests have waited there without a word from the server. */
  silentMs(now: EpochMs): number {
    const waitingSince = this.load.oldestStart();
    if (waitingSince === undefined) return 0;
    return now - Math.max(waitingSince, this.#heardAt);
  }

  update(server: BackendServer, now: EpochMs): void {
    this.server = server;
    if (server.load) this.load.report(server.load, now);
  }

  /** Requests that the server takes at once now; at least one, for a probe. */
  capacity(settings: HealthSettings, now: EpochMs): number {
    const share = this.share(settings, now);
    return Math.max(1, Math.floor(this.#limit.value * share));
  }

  share(settings: HealthSettings, now: EpochMs): number {
    return healthShare(this.#health, settings, now);
  }

  record(result: AttemptResult, settings: HealthSettings, now: EpochMs): void {
    const { end, firstTokenMs, targetMs } = result;
    if (end === 'leaving') this.saidLeaving = true;
    this.#health = recordAttempt(this.#health, end, firstTokenMs, settings, now);
    if (targetMs === undefined) return;
    // judged by answers alone, a server that has slowed down so far that nothing ends in time would
    // look fine: only its few quick answers would be seen, and its limit would stay too high.
    if (end === 'timeout') this.#limit.sample(Infinity, targetMs, now);
    if (end === 'ok' && firstTokenMs !== undefined) this.#limit.sample(firstTokenMs, targetMs, now);
  }

  eject(settings: HealthSettings, now: EpochMs): void {
    this.#health = eject(this.#health, settings, now);
  }

  isSlowAmong(entries: ServerEntry[], settings: HealthSettings): boolean {
    const all = entries.map((entry) => entry.#health);
    return isSlowOutlier(this.#health, all, settings);
  }
}
