/** Token bucket that limits the platform's call rates. */

/** State of a token bucket whose capacity is one second of calls. */
export interface RateLimit {
  perSecond: number;
  available: number;
  /** Time of the last refill, in epoch milliseconds. */
  at: number;
}

/** Returns a full bucket. */
export function createRateLimit(perSecond: number, now: number): RateLimit {
  return { perSecond, available: perSecond, at: now };
}

/** Takes one token from the bucket; returns false if the rate is exceeded. */
export function takeCall(limit: RateLimit, now: number): boolean {
  const gained = ((now - limit.at) / 1_000) * limit.perSecond;
  limit.available = Math.min(limit.perSecond, limit.available + gained);
  limit.at = now;
  if (limit.available < 1) return false;
  limit.available -= 1;
  return true;
}
