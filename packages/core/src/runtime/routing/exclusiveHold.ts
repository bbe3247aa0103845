/** Reserves a server for a request that must run alone there. */

import type { EpochMs } from '../../types/ids.js';
import type { ServerEntry } from './serverEntry.js';

/** How long a server is held for a request that must run alone, in milliseconds. */
const HOLD_MS = 5_000;

/**
 * At most one server of a pool that gets no other requests until it is idle.
 *
 * @example
 * const idle = hold.idleServers(open, isLocal, now); // empty: the least loaded server is held
 */
export class ExclusiveHold {
  #held: { entry: ServerEntry; until: EpochMs } | undefined;

  /** Whether a server is held. */
  holds(entry: ServerEntry): boolean {
    return entry === this.#held?.entry;
  }

  /** Ends the hold of a server, because its request is being sent. */
  release(entry: ServerEntry): void {
    if (this.holds(entry)) this.#held = undefined;
  }

  releaseExpired(now: EpochMs): void {
    if (this.#held && this.#held.until <= now) this.#held = undefined;
  }

  /** Servers at which a request can run alone now; if there is none, one is held until it is idle. */
  idleServers(
    open: ServerEntry[],
    isLocal: (entry: ServerEntry) => boolean,
    now: EpochMs,
  ): ServerEntry[] {
    const idle = open.filter((entry) => entry.load.own === 0);
    const free = idle.filter((entry) => this.holds(entry) || entry.load.others(now) === 0);
    if (free.length === 0 && !this.#held) this.#hold(open, isLocal, now);
    return free;
  }

  /** Reserves the least loaded server for the exclusive request: it gets no other requests. */
  #hold(open: ServerEntry[], isLocal: (entry: ServerEntry) => boolean, now: EpochMs): void {
    // never the only server: other requests would wait for a request that may crash it.
    if (open.length < 2) return;
    const local = open.filter(isLocal);
    const among = local.length > 0 ? local : open;
    const sorted = among.toSorted((a, b) => a.load.own - b.load.own);
    const least = sorted[0];
    if (least) this.#held = { entry: least, until: now + HOLD_MS };
  }
}
