/** Rate limits that backend servers report in their answers, as received by one instance. */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { RandomSource } from '../../types/placement.js';
import { sum } from '../../utils/sum.js';
import { SendPacer } from './sendPacer.js';

/** Rate limit of a server, as reported in one answer. */
export type ReportedRateLimit =
  | { type: 'none' }
  /** Requests per second that the server accepts from all instances together. */
  | { type: 'limit'; perSecond: number }
  /** The value is not a single positive decimal number. */
  | { type: 'invalid'; text: string };

/** Change of the known limit caused by an answer. */
export type RateLimitChange =
  | 'named'
  | 'changed'
  | 'ended'
  /**
   * The value cannot be parsed, so the limit is unchanged; reported once until the server sends a
   * valid value.
   */
  | 'invalid';

/** Limit of one server at a given time, for the log. */
export interface RateLimitView {
  limitPerSecond: number;
  /** Milliseconds since an answer last reported it. */
  limitAgeMs: number;
  /** Instances that share it, including this one; undefined while their number is unknown. */
  limitSharers: number | undefined;
  /** Milliseconds between two requests from this instance. */
  limitIntervalMs: number;
}

/** Pace of requests while all servers have rate limits, in milliseconds. */
export interface RateLimitPace {
  /** Time until the next request may be sent. */
  firstMs: number;
  /** Average time between two requests. */
  intervalMs: number;
}

const MS_PER_SECOND = 1_000;
/**
 * Age at which the limit of an unlisted server is removed, in milliseconds. The entry of a running
 * server may be missing from the list for some seconds.
 */
const FORGET_MS = 600_000;

/** Limit of one server. */
interface KnownLimit {
  perSecond: number;
  reportedAt: EpochMs;
  pacer: SendPacer;
}

/**
 * Fraction of a limit that all instances use together. Over a few seconds the total rate varies
 * around its mean, because no instance knows when the others send. New instances may also be
 * missing from the count for a while.
 */
const USED_FRACTION = 0.6;
/** Number of instances assumed while the real number is unknown. */
const DEFAULT_SHARERS = 100;

/**
 * Rate limits by server. A limit applies to all instances together, and each uses an equal share of
 * it, so the total stays within the limit even if instances cannot reach each other. An instance
 * continues to send at its share, so that an answer shows when the limit has ended.
 *
 * @example
 * const limits = new ServerRateLimits(Math.random);
 * limits.setSharers(8, now);
 * const change = limits.record('p1', { type: 'limit', perSecond: 1.5 }, now);
 * if (change) log(change, limits.view('p1', now));
 * if (limits.nextAt('p1', now) <= now) limits.take('p1', now);
 */
export class ServerRateLimits {
  readonly #limits = new Map<ServerId, KnownLimit>();
  /** Servers whose last reported limit could not be parsed. */
  readonly #invalid = new Set<ServerId>();
  readonly #random: RandomSource;
  #sharers: number | undefined;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Number of instances that share each limit, including this one; undefined while unknown. */
  get sharers(): number | undefined {
    return this.#sharers;
  }

  /** Number of servers with a rate limit. */
  get size(): number {
    return this.#limits.size;
  }

  /** Requests per second that all these servers accept together. */
  get perSecond(): number {
    return sum([...this.#limits.values()].map(({ perSecond }) => perSecond));
  }

  /** Maximum requests per second that this instance sends to them. */
  get ownPerSecond(): number {
    const shares = [...this.#limits.values()].map(({ pacer }) => MS_PER_SECOND / pacer.intervalMs);
    return sum(shares);
  }

  /** Sets how many instances share each limit, including this one. */
  setSharers(count: number, now: EpochMs): void {
    this.#sharers = Math.max(1, count);
    for (const { pacer, perSecond } of this.#limits.values()) {
      pacer.setInterval(this.#intervalMs(perSecond), now);
    }
  }

  /** Records what an answer of a server reports. */
  record(id: ServerId, reported: ReportedRateLimit, now: EpochMs): RateLimitChange | undefined {
    if (reported.type === 'invalid') {
      const isNew = !this.#invalid.has(id);
      this.#invalid.add(id);
      return isNew ? 'invalid' : undefined;
    }
    this.#invalid.delete(id);
    if (reported.type === 'none') return this.#limits.delete(id) ? 'ended' : undefined;
    return this.#learn(id, reported.perSecond, now);
  }

  /** Whether a server has a rate limit. */
  has(id: ServerId): boolean {
    return this.#limits.has(id);
  }

  /** When this instance may send the next request; not later than `now` if at once. */
  nextAt(id: ServerId, now: EpochMs): EpochMs {
    return this.#limits.get(id)?.pacer.nextAt(now) ?? now;
  }

  /**
   * Combined pace of servers that all have a limit; undefined if one has none, or if `ids` is
   * empty.
   */
  pace(ids: readonly ServerId[], now: EpochMs): RateLimitPace | undefined {
    const pacers = ids.flatMap((id) => this.#limits.get(id)?.pacer ?? []);
    if (pacers.length === 0 || pacers.length < ids.length) return undefined;
    const firstAt = Math.min(...pacers.map((pacer) => pacer.nextAt(now)));
    const perMs = sum(pacers.map(({ intervalMs }) => 1 / intervalMs));
    return { firstMs: Math.max(0, firstAt - now), intervalMs: 1 / perMs };
  }

  /** Records anything sent to a server: requests, retries and status probes. */
  take(id: ServerId, now: EpochMs): void {
    this.#limits.get(id)?.pacer.take(now);
  }

  /** Limit of a server; undefined if it has none. */
  view(id: ServerId, now: EpochMs): RateLimitView | undefined {
    const known = this.#limits.get(id);
    if (!known) return undefined;
    return {
      limitPerSecond: known.perSecond,
      limitAgeMs: Math.round(now - known.reportedAt),
      limitSharers: this.#sharers,
      limitIntervalMs: Math.round(known.pacer.intervalMs),
    };
  }

  /** Removes unlisted servers that have not reported a limit for a long time. */
  retain(listed: ReadonlySet<ServerId>, now: EpochMs): void {
    for (const id of this.#invalid) if (!listed.has(id)) this.#invalid.delete(id);
    for (const [id, { reportedAt }] of this.#limits) {
      if (!listed.has(id) && now - reportedAt > FORGET_MS) this.#limits.delete(id);
    }
  }

  #learn(id: ServerId, perSecond: number, now: EpochMs): RateLimitChange | undefined {
    const known = this.#limits.get(id);
    const intervalMs = this.#intervalMs(perSecond);
    if (!known) {
      const pacer = new SendPacer(intervalMs, now, this.#random());
      this.#limits.set(id, { perSecond, reportedAt: now, pacer });
      return 'named';
    }
    known.reportedAt = now;
    if (known.perSecond === perSecond) return undefined;
    known.perSecond = perSecond;
    known.pacer.setInterval(intervalMs, now);
    return 'changed';
  }

  #intervalMs(perSecond: number): number {
    return (MS_PER_SECOND * (this.#sharers ?? DEFAULT_SHARERS)) / (USED_FRACTION * perSecond);
  }
}
