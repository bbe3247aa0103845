/** How a request ended, for the log and the metrics. */

import type { Refusal } from '@flamingocourse/core';

export type OutcomeType =
  /** The server's complete response was written. */
  | 'answered'
  /** This instance refused the request. */
  | 'refused'
  /** The response was aborted after its head was written. */
  | 'broken'
  /** The caller disconnected before the response was complete. */
  | 'gone';

export interface Outcome {
  type: OutcomeType;
  status?: number | undefined;
  refusal?: Refusal;
  detail?: string;
}
