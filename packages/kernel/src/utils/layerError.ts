/** Base of all error classes: each layer has its own subclass and wraps errors from below. */

/**
 * An error that belongs to one layer, with a code from a closed set and the cause from below.
 *
 * @example
 * class PlatformError extends LayerError<'conflict' | 'unreachable'> {
 *   override readonly layer = 'platform';
 * }
 */
export abstract class LayerError<Code extends string> extends Error {
  abstract readonly layer: string;

  constructor(
    readonly code: Code,
    message: string,
    options: { cause?: unknown } = {},
  ) {
    super(message, options.cause === undefined ? undefined : { cause: options.cause });
    this.name = new.target.name;
  }
}

/** Turns any thrown value into text for a log line. */
export function describeError(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  const cause = err.cause === undefined ? '' : ` (caused by: ${describeError(err.cause)})`;
  return `${err.name}: ${err.message}${cause}`;
}
