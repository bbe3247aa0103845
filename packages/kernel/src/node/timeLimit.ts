/** Timeouts that do not expire for data that has arrived but is not read yet. */

import { afterPendingReads } from './waitForPendingReads.js';

/** Longest delay of a timer, some 25 days; Node.js starts one with a longer delay at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** An abort signal with a timeout. */
export interface TimeLimit {
  /** Aborted when the time limit expires, or when the caller's signal is aborted. */
  readonly signal: AbortSignal;
  /** Whether the time limit has expired. */
  readonly isExpired: boolean;
  /** Stops the timer. */
  end(): void;
}

/**
 * Calls the listener when the time has passed and all data that had arrived by then was read. The
 * event loop runs timers before it reads: if the loop lags, the awaited data may have arrived long
 * before the timer runs.
 *
 * @param ms Undefined for no timeout.
 * @returns A function that stops the timer.
 * @example
 * const stop = onTimeout(1_500, () => fail('timeout'));
 * req.on('response', stop);
 */
export function onTimeout(ms: number | undefined, listener: () => void): () => void {
  if (ms === undefined) return () => undefined;
  let stopped = false;
  const timer = setTimeout(
    () => {
      afterPendingReads(() => {
        if (!stopped) listener();
      });
    },
    Math.min(ms, MAX_DELAY_MS),
  );
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
  const end = onTimeout(ms, () => {
    controller.abort();
  });
  return {
    signal: signal ? AbortSignal.any([controller.signal, signal]) : controller.signal,
    get isExpired() {
      return controller.signal.aborted;
    },
    end,
  };
}

/** Resolves when a signal is aborted; immediately if it already is. */
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

/**
 * Resolves like a promise, or to undefined when a signal is aborted first.
 *
 * @example
 * const body = await orAborted(readBody(req), limit.signal);
 * if (body === undefined) return refuse();
 */
export function orAborted<T>(promise: Promise<T>, signal: AbortSignal): Promise<T | undefined> {
  return Promise.race([promise, aborted(signal).then(() => undefined)]);
}
