/** Rate limits that backend servers name in their answers, as one instance has heard them. */

import type { EpochMs, ServerId } from '../../types/ids.js';

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
}

/** Milliseconds; the entry of a server that lives may be missing from the list for some seconds. */
const FORGET_MS = 600_000;

/** One server's limit. */
interface KnownLimit {
  perSecond: number;
  heardAt: EpochMs;
}

/**
 * Limits by server.
 *
 * @example
 * const change = limits.tell('p1', { type: 'limit', perSecond: 1.5 }, now);
 * if (change) log(change, limits.view('p1', now));
 */
export class ServerRateLimits {
  readonly #limits = new Map<ServerId, KnownLimit>();
  /** Servers whose last word could not be read. */
  readonly #invalid = new Set<ServerId>();

  /** Servers that name a limit. */
  get size(): number {
    return this.#limits.size;
  }

  /** Requests a second that all these servers take together. */
  get perSecond(): number {
    return [...this.#limits.values()].reduce((sum, { perSecond }) => sum + perSecond, 0);
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
    const before = this.#limits.get(id)?.perSecond;
    this.#limits.set(id, { perSecond: told.perSecond, heardAt: now });
    if (before === told.perSecond) return undefined;
    return before === undefined ? 'named' : 'changed';
  }

  /** The limit of a server; undefined where it names none. */
  view(id: ServerId, now: EpochMs): RateLimitView | undefined {
    const known = this.#limits.get(id);
    if (!known) return undefined;
    return { limitPerSecond: known.perSecond, limitAgeMs: Math.round(now - known.heardAt) };
  }

  /** Forgets servers that are neither listed nor were heard for long. */
  retain(listed: ReadonlySet<ServerId>, now: EpochMs): void {
    for (const id of this.#invalid) if (!listed.has(id)) this.#invalid.delete(id);
    for (const [id, { heardAt }] of this.#limits) {
      if (!listed.has(id) && now - heardAt > FORGET_MS) this.#limits.delete(id);
    }
  }
}
