/**
 * Circuit breaker for calls to the platform: after repeated failures, calls fail immediately, and
 * single calls are admitted as probes to detect when the platform answers again.
 */

/** State of the circuit. */
export interface CircuitState {
  phase: 'closed' | 'open' | 'half-open';
  /** Consecutive failures. */
  failures: number;
  /** Time from which an open circuit admits a probe, in epoch milliseconds. */
  retryAt: number;
}

/** Limits of the circuit. */
export interface CircuitOptions {
  /** Consecutive failures that open the circuit. */
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

/** Outcome of an admitted call. */
export type CallOutcome = 'answered' | 'failed';

/** A circuit that admits every call. */
export function createCircuit(): CircuitState {
  return { phase: 'closed', failures: 0, retryAt: 0 };
}

/**
 * Decides whether a call may be sent. A half-open circuit has a probe in flight and admits no other
 * call.
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
 * Records the outcome of a call. An answer with any status closes the circuit, because it shows
 * that the platform is reachable.
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
  // calls that were in flight when the circuit opened must not extend the pause.
  if (state.phase === 'open') return state;
  const failures = state.failures + 1;
  if (failures < options.failureLimit) return { ...state, failures };
  const doublings = failures - options.failureLimit;
  const pause = Math.min(options.maxPauseMs, options.pauseMs * 2 ** doublings);
  return { phase: 'open', failures, retryAt: now + pause };
}
