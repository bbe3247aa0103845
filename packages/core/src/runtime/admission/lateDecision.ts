/** What to do with a request, by whether a server can still meet its target. */

import type { EpochMs } from '../../types/ids.js';
import type { Candidate } from '../../types/placement.js';

/** Load of a server as far as it decides when a new request is answered. */
export interface ServerQueue extends Pick<
  Candidate,
  'load' | 'loadAgeMs' | 'slowdown' | 'expectedMs'
> {
  /** Own requests among its load. */
  own?: number;
  slots: number;
}

/** Usual times of a request; undefined while unknown. */
export interface UsualRequest {
  firstMs: number | undefined;
  slotMs: number | undefined;
}

/** A request as the decision sees it, in milliseconds. */
export interface LateRequest {
  /** Time until its target; negative if that has passed. */
  leftMs: number;
  /** Part of the time until its target that it may spend at a server, from 0 to 1. @default 1 */
  usable?: number;
  usual: UsualRequest;
}

export type LateDecision =
  /** A server can meet the target. */
  | 'send'
  /** No server can, but one has room, so a late response costs nobody anything. */
  | 'send-late'
  /** Wait in the instance's queue. */
  | 'wait';

/**
 * Part of its slots for which a server may have waiting requests even if these will be late. Load
 * reports are some hundred milliseconds old; without it slots would be idle until the next report.
 */
const SHORT_QUEUE = 0.25;
/** Milliseconds of waiting after which a queue is standing; shorter ones are bursts that drain. */
const STANDING_MS = 300;
/** Milliseconds between two observations after which nothing is known about the time between. */
const MAX_GAP_MS = 1_000;

/**
 * Expected time until a server answers a request that is sent now; undefined while unknown.
 *
 * @example
 * expectedFirstMs({ load: 18, slots: 6 }, { firstMs: 68, slotMs: 68 }); // 215.3
 */
export function expectedFirstMs(server: ServerQueue, usual: UsualRequest): number | undefined {
  if (server.expectedMs !== undefined) return server.expectedMs;
  const { firstMs, slotMs } = usual;
  if (firstMs === undefined || slotMs === undefined) return undefined;
  const slowdown = server.slowdown ?? 1;
  const ahead = Math.max(0, presentLoad(server, slotMs * slowdown) + 1 - server.slots);
  return (firstMs + (ahead * slotMs) / server.slots) * slowdown;
}

/**
 * Load of a server without the requests of others that have ended since its report. Otherwise an
 * instance that sends nothing because of a report would get no newer one, and send nothing again.
 */
function presentLoad({ load, own = 0, loadAgeMs = 0, slots }: ServerQueue, slotMs: number): number {
  const ended = slotMs > 0 ? (loadAgeMs * slots) / slotMs : 0;
  return own + Math.max(0, load - own - ended);
}

/** Whether a server can meet the target of a request; true while its times are unknown. */
export function meetsTarget(
  server: ServerQueue,
  { leftMs, usual, usable = 1 }: LateRequest,
): boolean {
  const expected = expectedFirstMs(server, usual);
  return expected === undefined || expected <= leftMs * usable;
}

/** Whether a server has a free slot, or so few waiting that it may have one before the next report. */
export function hasShortQueue(server: ServerQueue, { slotMs = 0 }: UsualRequest): boolean {
  const { slots, slowdown = 1 } = server;
  return presentLoad(server, slotMs * slowdown) < slots + Math.ceil(SHORT_QUEUE * slots);
}

/**
 * Whether a request will miss its target although a server had a free slot at its turn.
 *
 * @param aheadMs expected wait until it is its turn.
 */
export function isLate({ leftMs, usual }: LateRequest, aheadMs: number): boolean {
  return usual.firstMs !== undefined && leftMs < aheadMs + usual.firstMs;
}

/**
 * Decides about a request whose turn it is.
 *
 * @param servers those with room for it.
 * @example
 * decideLate({ leftMs: 40, usual }, [{ load: 4, slots: 6 }]); // 'send-late'
 */
export function decideLate(request: LateRequest, servers: readonly ServerQueue[]): LateDecision {
  if (servers.some((server) => meetsTarget(server, request))) return 'send';
  if (servers.some((server) => hasShortQueue(server, request.usual))) return 'send-late';
  return 'wait';
}

/** Tells a standing queue from a burst that drains. */
export class StandingQueue {
  #since: EpochMs | undefined;
  #observedAt: EpochMs = -Infinity;

  /** Records whether requests wait. */
  observe(waits: boolean, now: EpochMs): void {
    if (now - this.#observedAt > MAX_GAP_MS) this.#since = undefined;
    this.#observedAt = now;
    this.#since = waits ? (this.#since ?? now) : undefined;
  }

  /** Whether requests have waited for some time without a moment at which none did. */
  isStanding(now: EpochMs): boolean {
    const isKnown = now - this.#observedAt <= MAX_GAP_MS;
    return isKnown && this.#since !== undefined && now - this.#since >= STANDING_MS;
  }
}
