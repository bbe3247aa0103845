/** One backend server in a pool. */

import type { EpochMs } from '../../types/ids.js';
import type { BackendServer } from '../../types/member.js';
import type { ConcurrencyLimit } from './concurrencyLimit.js';
import type { ServerHealth, HealthSettings } from './serverHealth.js';
import type { AttemptResult } from './serverPool.js';
import { hash32 } from '../../utils/hash.js';
import { LoadEstimate } from './loadEstimate.js';
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
  listed = true;
  /** The server itself said that it leaves; the list cannot take this back. */
  saidLeaving = false;
  /** A request that has to run alone is in flight here. */
  exclusive = false;
  #health: ServerHealth = createServerHealth();
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
