/** A bound on how long something is waited for. */

/** A signal with the timer behind it. */
export interface TimeLimit {
  /** Aborted when the time is over, or with the signal that was given. */
  readonly signal: AbortSignal;
  /** Stops the timer. */
  end(): void;
}

/**
 * Starts a time limit.
 *
 * @example
 * const limit = startTimeLimit(250, callerSignal);
 * await fetchTokens(limit.signal).finally(() => limit.end());
 */
export function startTimeLimit(ms: number, signal?: AbortSignal): TimeLimit {
  const controller = new AbortController();
  const timer = setTimeout(() => {
    controller.abort();
  }, ms);
  return {
    signal: signal ? AbortSignal.any([controller.signal, signal]) : controller.signal,
    end: () => {
      clearTimeout(timer);
    },
  };
}

/** Resolves when a signal is aborted; at once where it is already. */
export function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    else
      signal.addEventListener(
        'abort',
        () => {
          resolve();
        },
        { once: true },
      );
  });
}
