/** How a request ended, for the log and the metrics. */

import type { Refusal } from '@flamingocourse/core';

export type OutcomeType =
  /** The server's whole answer was written. */
  | 'answered'
  /** A refusal of our own was written. */
  | 'refused'
  /** The answer broke off after its head was written. */
  | 'broken'
  /** The caller left first. */
  | 'gone';

export interface Outcome {
  type: OutcomeType;
  status?: number | undefined;
  refusal?: Refusal;
  detail?: string;
}
