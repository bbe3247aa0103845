/** Ends a process of the lab whose background work failed: a measurement must not go on without it. */

import { describeError } from '@flamingocourse/kernel';

/**
 * Writes what was thrown to standard error and ends the process.
 *
 * @example
 * runInBackground(() => standIn.start(), endOnFailure);
 */
export function endOnFailure(err: unknown): void {
  process.stderr.write(`background work failed: ${describeError(err)}\n`);
  process.exit(1);
}
