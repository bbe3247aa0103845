/** Learns how long requests wait at engines before their prompts are read, by utilisation. */

/** Steps of utilisation; the last one is twice the capacity and above. */
const STEPS_PER_CAPACITY = 8;
const STEPS = 2 * STEPS_PER_CAPACITY + 1;
/** Milliseconds assumed for the wait at an engine that is just full. */
const FULL_MS = 10;
/** Milliseconds that a request runs, assumed for the wait at an engine with more than it runs. */
const RUN_MS = 1_000;
/** Weight of the assumption, in observations. */
const PRIOR_WEIGHT = 4;
/** Observations of a step that count at most, so that changes are noticed. */
const MAX_COUNT = 40;
/** Longest wait that is believed; callers of generations give up after some ten seconds. */
const MAX_WAIT_MS = 10_000;
/** Difference between waits assumed before the first observation. */
const PRIOR_SPREAD_MS = 10;

interface Step {
  count: number;
  meanMs: number;
  spreadMs: number;
}

/**
 * Usual waits by the load of an engine as a fraction of its capacity.
 *
 * @example
 * waits.observe(0.5, 12);
 * waits.at(0.5); // milliseconds
 */
export class UsualWaits {
  readonly #steps: Step[] = Array.from({ length: STEPS }, (_, step) => ({
    count: 0,
    meanMs: assumedMs(step / STEPS_PER_CAPACITY),
    spreadMs: PRIOR_SPREAD_MS,
  }));

  /** Expected wait in milliseconds. It never falls with the utilisation. */
  at(utilisation: number): number {
    const last = stepOf(utilisation);
    return Math.max(...this.#steps.slice(0, last + 1).map(({ meanMs }) => meanMs));
  }

  /** Mean difference of a wait from the expected one, in milliseconds. */
  spreadAt(utilisation: number): number {
    return this.#steps[stepOf(utilisation)]?.spreadMs ?? PRIOR_SPREAD_MS;
  }

  /** Records how long one request waited. */
  observe(utilisation: number, waitedMs: number): void {
    const step = this.#steps[stepOf(utilisation)];
    if (!step) return;
    const ms = Math.min(MAX_WAIT_MS, Math.max(0, waitedMs));
    step.count = Math.min(MAX_COUNT, step.count + 1);
    const weight = 1 / (step.count + PRIOR_WEIGHT);
    step.spreadMs += weight * (Math.abs(ms - step.meanMs) - step.spreadMs);
    step.meanMs += weight * (ms - step.meanMs);
  }
}

function assumedMs(utilisation: number): number {
  return FULL_MS * Math.min(1, utilisation) + RUN_MS * Math.max(0, utilisation - 1);
}

function stepOf(utilisation: number): number {
  const step = Math.floor(utilisation * STEPS_PER_CAPACITY);
  return Number.isFinite(step) ? Math.min(STEPS - 1, Math.max(0, step)) : 0;
}
