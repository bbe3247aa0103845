/** Maps the end of an attempt to its effect on the server's health. */

import type { AttemptResult } from '@flamingocourse/core';
import type { PlacementOutcome } from '../../types/backends.js';

/**
 * Maps the end of an attempt to the result that the server's health is judged by. A crash counts as
 * a failure of the server; the quarantine determines separately which request caused it.
 */
export function toHealthOutcome(how: PlacementOutcome): AttemptResult['end'] {
  switch (how) {
    case 'crashed':
    case 'broken':
      return 'failed';
    case 'timed-out':
      return 'timeout';
    case 'unreachable':
      return 'cancelled';
    case 'ok':
    case 'failed':
    case 'cancelled':
    case 'leaving':
      return how;
  }
}
