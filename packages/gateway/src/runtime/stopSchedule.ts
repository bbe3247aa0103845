/** Decides what a stopping instance still does, from the time since its stop began. */

/**
 * Milliseconds from the stop signal until the listener is closed. The load balancer checks readiness
 * each second and needs two failures, so new connections arrive for up to two seconds.
 */
export const DRAIN_MS = 2_600;
/** Milliseconds before the end of the grace period at which the remaining requests are ended. */
const END_MARGIN_MS = 600;

/** Progress of a stop. */
export type StopPhase =
  /** No stop was requested. */
  | 'serving'
  /** Callers are sent to other instances; what arrives nevertheless is served. */
  | 'draining'
  /** The listener is closed; what arrives on open connections is served if it ends in time. */
  | 'finishing'
  /** Requests in progress get their final answers. */
  | 'over';

/**
 * Phases of one stop. Times are in milliseconds of a monotonic clock.
 *
 * @example
 * const stop = new StopSchedule();
 * stop.begin(8_000, clock.now());
 * if (!stop.accepts(endsAt, clock.now())) refuse();
 */
export class StopSchedule {
  #since = Infinity;
  #endsAt = Infinity;

  /** Begins the stop of a process that is killed `graceMs` after `since`; only the first call counts. */
  begin(graceMs: number, since: number): void {
    if (this.isStopping) return;
    this.#since = since;
    this.#endsAt = since + graceMs - END_MARGIN_MS;
  }

  get isStopping(): boolean {
    return this.#since < Infinity;
  }

  /** Milliseconds since the stop began; undefined before. */
  sinceMs(now: number): number | undefined {
    return this.isStopping ? now - this.#since : undefined;
  }

  phase(now: number): StopPhase {
    if (!this.isStopping) return 'serving';
    if (now >= this.#endsAt) return 'over';
    return now < this.#since + DRAIN_MS ? 'draining' : 'finishing';
  }

  /** Whether a request that was just read and may last until `endsAt` may begin. */
  accepts(endsAt: number, now: number): boolean {
    switch (this.phase(now)) {
      case 'serving':
      case 'draining':
        return true;
      case 'finishing':
        return endsAt <= this.#endsAt;
      case 'over':
        return false;
    }
  }
}
