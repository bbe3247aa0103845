/** Bounds on how long something is waited for. */

import { pendingReads } from './pendingReads.js';

/** A signal with the timer behind it. */
export interface TimeLimit {
  /** Aborted when the time is over, or with the signal that was given. */
  readonly signal: AbortSignal;
  /** Whether the time is over. */
  readonly isOver: boolean;
  /** Stops the timer. */
  end(): void;
}

/**
 * Calls back once the time is over and all that had arrived by then was read. The event loop looks at its timers
 * first: in a process that is behind, what was waited for may have arrived long before.
 *
 * @param ms undefined for no limit.
 * @returns stops the timer.
 * @example
 * const stop = onTimeOver(1_500, () => fail('timeout'));
 * req.on('response', stop);
 */
export function onTimeOver(ms: number | undefined, listener: () => void): () => void {
  if (ms === undefined) return () => undefined;
  let stopped = false;
  const timer = setTimeout(() => {
    void pendingReads().then(() => {
      if (!stopped) listener();
    });
  }, ms);
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
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
  const end = onTimeOver(ms, () => {
    controller.abort();
  });
  return {
    signal: signal ? AbortSignal.any([controller.signal, signal]) : controller.signal,
    get isOver() {
      return controller.signal.aborted;
    },
    end,
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
