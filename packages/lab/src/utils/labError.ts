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

/** A failed run of the lab. The message says what is wrong or what to check. */
export class LabError extends LayerError<LabErrorCode> {
  override readonly layer = 'lab';
}
