/** Rate limits that backend servers name in their answers, as one instance has heard them. */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { RandomSource } from '../../types/placement.js';
import { sum } from '../../utils/sum.js';
import { SendShare } from './sendShare.js';

/** What an answer says about its server's rate limit. */
export type ToldRateLimit =
  | { type: 'none' }
  /** Requests a second that the server takes from all instances together. */
  | { type: 'limit'; perSecond: number }
  /** Something else than one positive decimal number. */
  | { type: 'invalid'; text: string };

/** How an answer changed what was known. */
export type RateLimitChange =
  | 'named'
  | 'changed'
  | 'ended'
  /** It cannot be read, so the limit stays as it was; told once for each server. */
  | 'invalid';

/** State of one server's limit at a time, for the log. */
export interface RateLimitView {
  limitPerSecond: number;
  /** Milliseconds since an answer named it. */
  limitAgeMs: number;
  /** Instances that share it, self included; undefined while their number is not known. */
  limitSharers: number | undefined;
  /** Milliseconds between two requests of this instance. */
  limitIntervalMs: number;
}

/** How requests go out while all servers limit them, in milliseconds. */
export interface RateLimitPace {
  /** Until the next one may be sent. */
  firstMs: number;
  /** Between two, on average. */
  intervalMs: number;
}

const MS_PER_SECOND = 1_000;
/** Milliseconds; the entry of a server that lives may be missing from the list for some seconds. */
const FORGET_MS = 600_000;

/** One server's limit. */
interface KnownLimit {
  perSecond: number;
  heardAt: EpochMs;
  share: SendShare;
}

/**
 * Part of a limit that all instances use together. The sum over some seconds swings around its mean, as no
 * instance knows when the others send, and some may have joined that the count does not show yet.
 */
const USED_PART = 0.6;
/** Instances that are reckoned with while their number is not known. */
const UNKNOWN_SHARERS = 100;

/**
 * Limits by server. A limit holds for all instances together, and each uses an equal part of it, so the sum
 * holds also while none sees another. An instance goes on sending at its part, so that an answer
 * tells it when the limit has ended.
 *
 * @example
 * const limits = new ServerRateLimits(Math.random);
 * limits.setSharers(8, now);
 * const change = limits.tell('p1', { type: 'limit', perSecond: 1.5 }, now);
 * if (change) log(change, limits.view('p1', now));
 * if (limits.nextAt('p1', now) <= now) limits.take('p1', now);
 */
export class ServerRateLimits {
  readonly #limits = new Map<ServerId, KnownLimit>();
  /** Servers whose last word could not be read. */
  readonly #invalid = new Set<ServerId>();
  readonly #random: RandomSource;
  #sharers: number | undefined;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Servers that name a limit. */
  get size(): number {
    return this.#limits.size;
  }

  /** Requests a second that all these servers take together. */
  get perSecond(): number {
    return sum([...this.#limits.values()].map(({ perSecond }) => perSecond));
  }

  /** Requests a second that this instance sends to them at most. */
  get ownPerSecond(): number {
    const shares = [...this.#limits.values()].map(({ share }) => MS_PER_SECOND / share.intervalMs);
    return sum(shares);
  }

  /** Sets how many instances share each limit, self included. */
  setSharers(count: number, now: EpochMs): void {
    this.#sharers = Math.max(1, count);
    for (const { share, perSecond } of this.#limits.values()) {
      share.setInterval(this.#intervalMs(perSecond), now);
    }
  }

  /** Takes in what an answer of a server says. */
  tell(id: ServerId, told: ToldRateLimit, now: EpochMs): RateLimitChange | undefined {
    if (told.type === 'invalid') {
      const isNew = !this.#invalid.has(id);
      this.#invalid.add(id);
      return isNew ? 'invalid' : undefined;
    }
    this.#invalid.delete(id);
    if (told.type === 'none') return this.#limits.delete(id) ? 'ended' : undefined;
    return this.#learn(id, told.perSecond, now);
  }

  /** Whether a server names a limit. */
  has(id: ServerId): boolean {
    return this.#limits.has(id);
  }

  /** When this instance may send the next request to a server; not after `now` if it may at once. */
  nextAt(id: ServerId, now: EpochMs): EpochMs {
    return this.#limits.get(id)?.share.nextAt(now) ?? now;
  }

  /** How requests go out to servers that all name a limit; undefined where one does not, or none is given. */
  pace(ids: readonly ServerId[], now: EpochMs): RateLimitPace | undefined {
    const shares = ids.flatMap((id) => this.#limits.get(id)?.share ?? []);
    if (shares.length === 0 || shares.length < ids.length) return undefined;
    const firstAt = Math.min(...shares.map((share) => share.nextAt(now)));
    const perMs = sum(shares.map(({ intervalMs }) => 1 / intervalMs));
    return { firstMs: Math.max(0, firstAt - now), intervalMs: 1 / perMs };
  }

  /** Counts whatever is sent to a server: requests, further attempts and questions for its status. */
  take(id: ServerId, now: EpochMs): void {
    this.#limits.get(id)?.share.take(now);
  }

  /** The limit of a server; undefined where it names none. */
  view(id: ServerId, now: EpochMs): RateLimitView | undefined {
    const known = this.#limits.get(id);
    if (!known) return undefined;
    return {
      limitPerSecond: known.perSecond,
      limitAgeMs: Math.round(now - known.heardAt),
      limitSharers: this.#sharers,
      limitIntervalMs: Math.round(known.share.intervalMs),
    };
  }

  /** Forgets servers that are neither listed nor were heard for long. */
  retain(listed: ReadonlySet<ServerId>, now: EpochMs): void {
    for (const id of this.#invalid) if (!listed.has(id)) this.#invalid.delete(id);
    for (const [id, { heardAt }] of this.#limits) {
      if (!listed.has(id) && now - heardAt > FORGET_MS) this.#limits.delete(id);
    }
  }

  #learn(id: ServerId, perSecond: number, now: EpochMs): RateLimitChange | undefined {
    const known = this.#limits.get(id);
    const intervalMs = this.#intervalMs(perSecond);
    if (!known) {
      const share = new SendShare(intervalMs, now, this.#random());
      this.#limits.set(id, { perSecond, heardAt: now, share });
      return 'named';
    }
    known.heardAt = now;
    if (known.perSecond === perSecond) return undefined;
    known.perSecond = perSecond;
    known.share.setInterval(intervalMs, now);
    return 'changed';
  }

  #intervalMs(perSecond: number): number {
    return (MS_PER_SECOND * (this.#sharers ?? UNKNOWN_SHARERS)) / (USED_PART * perSecond);
  }
}
