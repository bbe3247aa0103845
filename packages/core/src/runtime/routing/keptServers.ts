/**
 * Servers that are still used although their entry has expired. While the store is unavailable, the
 * entries of running servers expire because they cannot be renewed. The entry of a stopped server
 * is missing in the same way. The list cannot distinguish the two cases, but the server itself can,
 * so each kept server is probed.
 */

import type { EpochMs, ServerId } from '../../types/ids.js';

/** Result of probing a server. */
export type ProbeResult =
  | 'staying'
  | 'leaving'
  /** Nothing listens at its address, or another server does. */
  | 'gone'
  /** No answer, or an inconclusive one: a busy server answers slowly or rejects the probe. */
  | 'unknown';

/** Milliseconds between two probes; a leaving server continues to serve for longer than this. */
const PROBE_INTERVAL_MS = 500;

/** State of one kept server. */
interface KeptServer {
  since: EpochMs;
  /** When it is considered gone, regardless of its answers. */
  until: EpochMs;
  /** When it is probed next; infinite during a probe. */
  probeAt: EpochMs;
  lastWord: ProbeResult;
}

/** Summary of the time for which a server was kept, for the log. */
export interface KeptSummary {
  keptMs: number;
  lastWord: ProbeResult;
}

/**
 * Decides how long servers without an entry are used, and when they are probed.
 *
 * @example
 * kept.keep('p1', now + 2_200, now);
 * for (const id of kept.takeDueProbes(now)) {
 *   probe(id).then((result) => kept.recordProbe(id, result, Date.now()));
 * }
 */
export class KeptServers {
  readonly #servers = new Map<ServerId, KeptServer>();

  get size(): number {
    return this.#servers.size;
  }

  /** Time of the next probe or expiry; infinite if no server is kept. */
  get nextAt(): EpochMs {
    const times = [...this.#servers.values()].map(({ until, probeAt }) => Math.min(until, probeAt));
    return Math.min(...times);
  }

  has(id: ServerId): boolean {
    return this.#servers.has(id);
  }

  /** Keeps a server until the given time. Returns whether it was not kept before. */
  keep(id: ServerId, until: EpochMs, now: EpochMs): boolean {
    const known = this.#servers.get(id);
    if (known) known.until = Math.max(known.until, until);
    else this.#servers.set(id, { since: now, until, probeAt: now, lastWord: 'unknown' });
    return known === undefined;
  }

  /** Stops keeping a server; undefined if it was not kept. */
  end(id: ServerId, now: EpochMs): KeptSummary | undefined {
    const known = this.#servers.get(id);
    this.#servers.delete(id);
    return known && { keptMs: now - known.since, lastWord: known.lastWord };
  }

  /** Takes the servers to probe now; none of them is returned again before its probe has ended. */
  takeDueProbes(now: EpochMs): ServerId[] {
    const due = [...this.#servers].filter(([, { probeAt }]) => probeAt <= now);
    for (const [, server] of due) server.probeAt = Infinity;
    return due.map(([id]) => id);
  }

  /** Records the result of a probe. Returns whether the server remains kept. */
  recordProbe(id: ServerId, result: ProbeResult, now: EpochMs): boolean {
    const known = this.#servers.get(id);
    if (!known) return false;
    known.lastWord = result;
    known.probeAt = now + PROBE_INTERVAL_MS;
    return result !== 'leaving' && result !== 'gone';
  }

  /** Servers that were kept for the maximum time. */
  expired(now: EpochMs): ServerId[] {
    return [...this.#servers].filter(([, { until }]) => until <= now).map(([id]) => id);
  }
}
