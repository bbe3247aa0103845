/** Checks that the fleet repeats no more requests at a service than its retry limits allow. */

import type { SeenRequest } from '../platform/fakeServer.js';

/** Retry limits of the whole fleet, as in the settings of the instances. */
const RATIO = 0.2;
const SLACK = 54;
const WINDOW_MS = 10_000;

/**
 * Returns the broken promise, if in some window more requests arrived beyond the first of each than
 * the limits allow. Requests count in the window, the one before it or the one half a window before.
 *
 * @param sentAt when callers sent the requests for the service.
 */
export function brokenRepeats(
  arrivals: readonly SeenRequest[],
  sentAt: readonly number[],
): string[] {
  const repeats = repeatTimes(arrivals);
  const sentIn = (from: number): number =>
    sentAt.filter((at) => at >= from && at < from + WINDOW_MS).length;
  for (const from of repeats) {
    const count = repeats.filter((at) => at >= from && at < from + WINDOW_MS).length;
    const requests = Math.max(...[0, WINDOW_MS / 2, WINDOW_MS].map((ms) => sentIn(from - ms)));
    const allowed = RATIO * requests + SLACK;
    if (count > allowed)
      return [`${String(count)} requests were repeated, ${String(allowed)} may be`];
  }
  return [];
}

/** Times of the arrivals that were not the first of their request. */
function repeatTimes(arrivals: readonly SeenRequest[]): number[] {
  const seen = new Set<string>();
  const inOrder = arrivals.toSorted((a, b) => a.at - b.at);
  return inOrder.flatMap(({ headers, at }) => {
    const id = String(headers['x-request-id']);
    if (seen.has(id)) return [at];
    seen.add(id);
    return [];
  });
}
