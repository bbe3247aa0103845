/** How long requests of a route take at a server, learned from earlier ones. */

/** Weight of one answer in the mean. */
const MEAN_WEIGHT = 0.1;
/** Weight of one answer that is quicker than the usual time to the first byte. */
const QUICKER_WEIGHT = 0.2;
/**
 * Weight of one that is slower. It is small, because the usual time must not follow the waits at an
 * overloaded server.
 */
const SLOWER_WEIGHT = 0.01;
/** Part of the target that a request takes while nothing is known of its route. */
const UNKNOWN_PART = 0.25;

interface Estimate {
  workMs: number;
  firstByteMs: number;
}

/**
 * Estimates by route.
 *
 * @example
 * estimates.record('chat', { workMs: 900, firstByteMs: 60 });
 * estimates.workMs('chat', 408); // 900
 */
export class WorkEstimates {
  readonly #routes = new Map<string, Estimate>();

  /** Records a complete answer: milliseconds from its placing until its end, and its first byte. */
  record(route: string, { workMs, firstByteMs }: Estimate): void {
    const known = this.#routes.get(route);
    if (!known) {
      this.#routes.set(route, { workMs, firstByteMs });
      return;
    }
    const weight = firstByteMs < known.firstByteMs ? QUICKER_WEIGHT : SLOWER_WEIGHT;
    known.firstByteMs += weight * (firstByteMs - known.firstByteMs);
    known.workMs += MEAN_WEIGHT * (workMs - known.workMs);
  }

  /** Expected milliseconds of a slot. */
  workMs(route: string, targetMs: number): number {
    return Math.max(1, this.#routes.get(route)?.workMs ?? UNKNOWN_PART * targetMs);
  }

  /** Milliseconds to the first byte that are more than usual, because the server made it wait. */
  waitAtServerMs(route: string, firstByteMs: number): number {
    return Math.max(0, firstByteMs - (this.#routes.get(route)?.firstByteMs ?? firstByteMs));
  }
}
