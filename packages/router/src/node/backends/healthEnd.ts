/** What the end of an attempt says of its server's health. */

import type { AttemptResult } from '@flamingocourse/core';
import type { AttemptEnd } from '../../types/backends.js';

/** A crash counts as a failure of the server; what crashed it is the quarantine's matter. */
export function healthEnd(how: AttemptEnd): AttemptResult['end'] {
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
