/** Decides what a stopping instance still does, from the time since its stop began. */

/**
 * Milliseconds from the stop signal until the listener is closed. The load balancer checks readiness
 * each second and needs two failures, so new connections arrive for up to two seconds.
 */
export const DRAIN_MS = 2_600;
/** Milliseconds before the end of the grace period at which the remaining requests are ended. */
const END_MARGIN_MS = 600;
/** Fraction of the grace period for which an answer that has begun may go on. */
const BEGUN_ANSWERS_FRACTION = 5 / 6;

/** Progress of a stop. */
export type StopPhase =
  /** No stop was requested. */
  | 'serving'
  /** Callers are sent to other instances; what arrives nevertheless is served. */
  | 'draining'
  /** The listener is closed; what arrives on open connections is served if it ends in time. */
  | 'finishing'
  /**
   * Requests without an answer get their final ones. Answers that have begun, which the end of the process
   * would only cut off as well, go on where the grace period may have begun later.
   */
  | 'ending'
  /** All requests are ended. */
  | 'over';

/** What is known of the request to stop a process. */
export interface StopRequest {
  /** Milliseconds from the request until the process is killed. */
  graceMs: number;
  /** Earliest time at which the request can have come. */
  since: number;
  now: number;
}

/**
 * Phases of one stop. Times are in milliseconds of a monotonic clock.
 *
 * @example
 * const stop = new StopSchedule();
 * stop.begin({ graceMs: 8_000, since: clock.now(), now: clock.now() });
 * if (!stop.accepts(endsAt, clock.now())) refuse();
 */
export class StopSchedule {
  #since = Infinity;
  #drainEndsAt = Infinity;
  #endsAt = Infinity;
  #begunAnswersEndAt = Infinity;

  /**
   * Begins the stop of a process that was asked to stop between `since` and `now`, and is killed `graceMs`
   * after that; only the first call counts.
   */
  begin({ graceMs, since, now }: StopRequest): void {
    if (this.isStopping) return;
    this.#since = since;
    this.#endsAt = since + graceMs - END_MARGIN_MS;
    // the load balancer learns of the stop only once it is handled.
    this.#drainEndsAt = Math.min(this.#endsAt, now + DRAIN_MS);
    this.#begunAnswersEndAt = Math.max(this.#endsAt, now + graceMs * BEGUN_ANSWERS_FRACTION);
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
    if (now >= this.#begunAnswersEndAt) return 'over';
    if (now >= this.#endsAt) return 'ending';
    return now < this.#drainEndsAt ? 'draining' : 'finishing';
  }

  /** Whether a request that was just read and may last until `endsAt` may begin. */
  accepts(endsAt: number, now: number): boolean {
    switch (this.phase(now)) {
      case 'serving':
        return true;
      case 'draining':
      case 'finishing':
        return now < this.#since + DRAIN_MS || endsAt <= this.#endsAt;
      case 'ending':
      case 'over':
        return false;
    }
  }
}
