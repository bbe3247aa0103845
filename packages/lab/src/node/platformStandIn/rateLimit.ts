/** Token bucket for the platform's rates. */

/** State of a bucket that holds at most one second's worth of calls. */
export interface RateLimit {
  perSecond: number;
  available: number;
  /** Time of the last refill, in epoch milliseconds. */
  at: number;
}

/** A full bucket. */
export function createRateLimit(perSecond: number, now: number): RateLimit {
  return { perSecond, available: perSecond, at: now };
}

/** Takes one call out of the bucket; false when the rate is passed. */
export function takeCall(limit: RateLimit, now: number): boolean {
  const gained = ((now - limit.at) / 1_000) * limit.perSecond;
  limit.available = Math.min(limit.perSecond, limit.available + gained);
  limit.at = now;
  if (limit.available < 1) return false;
  limit.available -= 1;
  return true;
}
