/**
 * Circuit breaker in front of the platform: after repeated failures calls are refused at once, and
 * single probes find out when the platform answers again.
 */

/** State of the circuit. */
export interface CircuitState {
  phase: 'closed' | 'open' | 'half-open';
  /** Failures in a row. */
  failures: number;
  /** Time of the next probe while open, in epoch milliseconds. */
  retryAt: number;
}

/** Limits of the circuit. */
export interface CircuitOptions {
  /** Failures in a row that open the circuit. */
  failureLimit: number;
  /** First pause before a probe, in milliseconds; doubles with each failed probe. */
  pauseMs: number;
  /** Longest pause, in milliseconds. */
  maxPauseMs: number;
}

export const defaultCircuitOptions: CircuitOptions = {
  failureLimit: 3,
  pauseMs: 200,
  maxPauseMs: 1_500,
};

/** What became of an admitted call. */
export type CallOutcome = 'answered' | 'failed';

/** A circuit that admits every call. */
export function createCircuit(): CircuitState {
  return { phase: 'closed', failures: 0, retryAt: 0 };
}

/**
 * Decides whether a call may be sent. While half-open the one probe is under way, so others wait.
 *
 * @example
 * const { state, admitted } = admitCall(circuit, now);
 */
export function admitCall(
  state: CircuitState,
  now: number,
): { state: CircuitState; admitted: boolean } {
  if (state.phase === 'closed') return { state, admitted: true };
  if (state.phase === 'half-open' || now < state.retryAt) return { state, admitted: false };
  return { state: { ...state, phase: 'half-open' }, admitted: true };
}

/**
 * Takes in the outcome of a call. An answer of any status closes the circuit, because it shows that
 * the platform is there.
 *
 * @example
 * circuit = recordOutcome(circuit, 'failed', now, defaultCircuitOptions);
 */
export function recordOutcome(
  state: CircuitState,
  outcome: CallOutcome,
  now: number,
  options: CircuitOptions,
): CircuitState {
  if (outcome === 'answered') return createCircuit();
  // calls that were under way when the circuit opened must not lengthen the pause.
  if (state.phase === 'open') return state;
  const failures = state.failures + 1;
  if (failures < options.failureLimit) return { ...state, failures };
  const doublings = failures - options.failureLimit;
  const pause = Math.min(options.maxPauseMs, options.pauseMs * 2 ** doublings);
  return { phase: 'open', failures, retryAt: now + pause };
}
