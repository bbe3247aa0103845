/** Waiting for what has arrived at this process and was not read yet. */

/**
 * Resolves once each connection that had something to be read has been read again. The event loop reads
 * what a caller sent and the end of its connection one after the other, in two of its turns.
 *
 * @example
 * await pendingReads();
 * if (answer.gone) return { type: 'gone' };
 */
export function pendingReads(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}
