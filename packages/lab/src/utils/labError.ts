/** Errors of the lab. */

import { LayerError } from '@flamingocourse/kernel';

export type LabErrorCode =
  | 'bad-world'
  | 'trace-differs'
  | 'not-ready'
  | 'ended-early'
  | 'apply-failed'
  | 'bad-report'
  | 'too-few-points'
  | 'no-usage'
  | 'measure-failed';

/** A run of the lab that cannot go on; the message says what to look at. */
export class LabError extends LayerError<LabErrorCode> {
  override readonly layer = 'lab';
}
