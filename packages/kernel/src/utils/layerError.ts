/** Base of all error classes. Each layer has its own subclass and wraps errors of lower layers. */

/**
 * An error of one layer, with a code from a closed set and, as its cause, the error of a lower
 * layer.
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

/** Formats any thrown value, with its causes, for a log line. */
export function describeError(err: unknown): string {
  if (!(err instanceof Error)) return String(err);
  const cause = err.cause === undefined ? '' : ` (caused by: ${describeError(err.cause)})`;
  return `${err.name}: ${err.message}${cause}`;
}
