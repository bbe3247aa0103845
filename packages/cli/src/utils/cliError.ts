/** Errors of the operators' command and the exit codes that they lead to. */

import type { StoreError } from '../types/operatorStore.js';
import { LayerError } from '@flamingocourse/kernel';

/** Exit codes; docs/OPERATORS.md explains them. */
export const exitCodes = {
  ok: 0,
  faults: 1,
  usage: 2,
  conflict: 3,
  unreachable: 4,
  'guard-rail': 5,
} as const;

export type ExitReason = keyof typeof exitCodes;

export type CliErrorCode = Exclude<ExitReason, 'ok'>;

/** An operation that did not succeed; the message says what to do. */
export class CliError extends LayerError<CliErrorCode> {
  override readonly layer = 'cli';
}

/** Reasons from the most to the least pressing; a command reports the first that occurred. */
const urgency: ExitReason[] = ['unreachable', 'conflict', 'guard-rail', 'usage', 'faults', 'ok'];

/**
 * Chooses the exit reason of a command that met several.
 *
 * @example worstReason(['ok', 'conflict', 'faults']) // 'conflict'
 */
export function worstReason(reasons: readonly ExitReason[]): ExitReason {
  return urgency.find((one) => reasons.includes(one)) ?? 'ok';
}

/** Turns an error of the platform into one of the command. */
export function fromStoreError(err: StoreError, doing: string): CliError {
  const message = `${doing}: ${err.message}`;
  switch (err.code) {
    case 'conflict':
    case 'exists':
      return new CliError('conflict', message);
    case 'unreachable':
    case 'throttled':
      return new CliError('unreachable', `${message} Try again, or check the platform's URL.`);
    case 'not-found':
    case 'too-large':
    case 'invalid':
      return new CliError('faults', message);
  }
}
