/** Waits for data that the operating system has received but this process has not read yet. */

/**
 * Resolves when each connection with unread data has been read again. It waits for two iterations
 * of the event loop: what a caller sent and the end of its connection are read in separate
 * iterations.
 *
 * @example
 * await waitForPendingReads();
 * if (answer.gone) return { type: 'gone' };
 */
export function waitForPendingReads(): Promise<void> {
  return new Promise((resolve) => {
    afterPendingReads(resolve);
  });
}

/** Calls a listener at the time at which {@link waitForPendingReads} resolves. */
export function afterPendingReads(listener: () => void): void {
  setImmediate(() => setImmediate(listener));
}
