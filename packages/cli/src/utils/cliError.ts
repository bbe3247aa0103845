/** Errors of the operators' command and their exit codes. */

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

/** Error of an operation; the message says what to do. */
export class CliError extends LayerError<CliErrorCode> {
  override readonly layer = 'cli';
}

/** Reasons by precedence, highest first; a command reports the first that occurred. */
const reasonPrecedence: ExitReason[] = [
  'unreachable',
  'conflict',
  'guard-rail',
  'usage',
  'faults',
  'ok',
];

/**
 * Chooses the exit reason of a command with several outcomes.
 *
 * @example worstReason(['ok', 'conflict', 'faults']) // 'conflict'
 */
export function worstReason(reasons: readonly ExitReason[]): ExitReason {
  return reasonPrecedence.find((one) => reasons.includes(one)) ?? 'ok';
}

/** Converts an error of the store; `context` precedes its message. */
export function fromStoreError(err: StoreError, context: string): CliError {
  const message = `${context}: ${err.message}`;
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
