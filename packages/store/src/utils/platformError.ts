/** Errors of calls to the platform. */

import { LayerError } from '@flamingocourse/kernel';

/**
 * `conflict`: another version is current. `exists`: the name is in use. `unreachable`: no usable
 * answer arrived. `too-large`: the value or the answer exceeds the limit. `throttled`: the
 * platform's rate limit is exceeded. `invalid`: the value or the answer does not match its schema.
 * `too-old`: the history no longer has the changes after the version.
 */
export type PlatformErrorCode =
  | 'conflict'
  | 'exists'
  | 'not-found'
  | 'unreachable'
  | 'too-large'
  | 'throttled'
  | 'invalid'
  | 'too-old';

/** Whether a failed write may have taken effect. */
export type WriteEffect = 'none' | 'unknown';

/** Error of a call to the platform. */
export class PlatformError extends LayerError<PlatformErrorCode> {
  override readonly layer = 'platform';
  /**
   * `unknown`: the write may have taken effect although its reply is missing; read the object again
   * before retrying. `none`: it certainly had no effect. Reads always have `none`.
   */
  readonly effect: WriteEffect;
  /** Delay before a retry that the platform asked for, in milliseconds. */
  readonly retryAfterMs: number | undefined;
  /** On a conflict: the current object, not validated, if the store sent it with the refusal. */
  readonly current: { name: string; version: string; value: unknown } | undefined;

  constructor(
    code: PlatformErrorCode,
    message: string,
    options: {
      cause?: unknown;
      effect?: WriteEffect;
      retryAfterMs?: number | undefined;
      current?: { name: string; version: string; value: unknown } | undefined;
    } = {},
  ) {
    super(code, message, options);
    this.effect = options.effect ?? 'none';
    this.retryAfterMs = options.retryAfterMs;
    this.current = options.current;
  }
}
