/** Combined pace of several servers, each of which accepts requests only at times. */

import type { RateLimitPace } from './serverRateLimits.js';
import { sum } from '../../utils/sum.js';

/**
 * Returns the pace of all servers together; undefined if one of them has none and so accepts
 * requests at any time, or if there is no server.
 *
 * @example
 * combinePaces([
 *   { firstMs: 300, intervalMs: 1_000 },
 *   { firstMs: 0, intervalMs: 1_000 },
 * ]); // { firstMs: 0, intervalMs: 500 }
 */
export function combinePaces(
  paces: readonly (RateLimitPace | undefined)[],
): RateLimitPace | undefined {
  const known = paces.filter((pace) => pace !== undefined);
  if (known.length === 0 || known.length < paces.length) return undefined;
  const firstMs = Math.min(...known.map((pace) => pace.firstMs));
  return { firstMs, intervalMs: 1 / sum(known.map(({ intervalMs }) => 1 / intervalMs)) };
}

/**
 * Returns the pace of a server to which both paces apply; undefined if neither does.
 *
 * @example
 * slowerPace(undefined, { firstMs: 0, intervalMs: 50 }); // { firstMs: 0, intervalMs: 50 }
 */
export function slowerPace(
  a: RateLimitPace | undefined,
  b: RateLimitPace | undefined,
): RateLimitPace | undefined {
  if (!a || !b) return a ?? b;
  return {
    firstMs: Math.max(a.firstMs, b.firstMs),
    intervalMs: Math.max(a.intervalMs, b.intervalMs),
  };
}
