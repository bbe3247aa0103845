/** Errors of the platform layer. */

import { LayerError } from '@flamingocourse/kernel';

/**
 * `conflict`: another version is current. `exists`: the name is taken. `unreachable`: no usable
 * answer came. `too-large`: value or answer over the limit. `throttled`: over the platform's rates.
 * `invalid`: the value or the answer has the wrong shape. `too-old`: the version's history is gone.
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

/** Whether a write that failed can have taken effect. */
export type WriteEffect = 'none' | 'unknown';

/** Fault of a call to the platform. */
export class PlatformError extends LayerError<PlatformErrorCode> {
  override readonly layer = 'platform';
  /**
   * `unknown`: the write may have taken effect although its reply is missing; read the object again
   * before the write is repeated. `none`: it provably had no effect. Reads always have `none`.
   */
  readonly effect: WriteEffect;
  /** Milliseconds after which the platform wants to be asked again. */
  readonly retryAfterMs: number | undefined;
  /** On a conflict: the object as it is, unchecked, where the store told it with the refusal. */
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
