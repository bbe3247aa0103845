/** What an account is charged for a request. */

import type { Tokens } from '@flamingocourse/core';

/** Whether a request of which the account got nothing is charged with its prompt. */
export type UnansweredPolicy = 'free' | 'charged';

/** How a request ended, as far as its charge goes. */
export interface ChargedRequest {
  /** Tokens of the prompt. */
  prompt: Tokens;
  /** Most tokens that may be generated. */
  most: Tokens;
  /** Attempts that may have run. */
  mayHaveRun: number;
  /** Whether a server's whole answer, with a success, went to the caller. */
  answered: boolean;
  /** Events of a stream that went to the caller; undefined where the answer is no stream. */
  events: number | undefined;
  tokensPerEvent: Tokens;
}

/**
 * Tokens to charge: the prompt once, however many servers read it, and what was generated and passed
 * on. The answer of a route that doesn't stream does not say how long it is, so it counts in full.
 *
 * `free` charges nothing where nothing was passed on: a caller who got no token has consumed none, and
 * a budget is not used up by servers that fail. With half of all answers lost, an account that was
 * charged all the same was refused after 60 % of its budget; the operator carries what ran in vain.
 *
 * @example
 * chargeOf({ prompt: 900, most: 80, mayHaveRun: 1, answered: true, events: 10, tokensPerEvent: 3 }, 'free'); // 930
 */
export function chargeOf(request: ChargedRequest, unanswered: UnansweredPolicy): Tokens {
  const { prompt, most, mayHaveRun, answered, events, tokensPerEvent } = request;
  if (mayHaveRun === 0) return 0;
  const delivered = answered || (events !== undefined && events > 0);
  if (!delivered) return unanswered === 'free' ? 0 : prompt;
  const generated = events === undefined ? most : Math.min(most, events * tokensPerEvent);
  return prompt + generated;
}
