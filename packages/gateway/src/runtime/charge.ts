/** Computes what an account is charged for a request. */

import type { Tokens } from '@flamingocourse/core';

/** Whether the prompt is charged for a request that delivered nothing to the caller. */
export type UnansweredPolicy = 'free' | 'charged';

/** The facts about an ended request that determine its charge. */
export interface ChargedRequest {
  /** Tokens of the prompt. */
  prompt: Tokens;
  /** Maximum number of generated tokens. */
  most: Tokens;
  /** Attempts that may have run. */
  mayHaveRun: number;
  /** Whether a complete, successful answer was delivered to the caller. */
  answered: boolean;
  /** Stream events delivered to the caller; undefined if the answer is not a stream. */
  events: number | undefined;
  tokensPerEvent: Tokens;
}

/**
 * Tokens to charge: the prompt once, however many servers processed it, plus the generated tokens that were
 * delivered. An answer that is not streamed does not state its length, so `most` is charged for it.
 *
 * With `free`, a request that delivered nothing costs nothing. A caller that received no token consumed
 * none, and failing servers must not use up a budget: with half of all answers lost, an account that was
 * charged anyway was refused after 60 % of its budget. The operator pays for the work that was lost.
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
