/** Decides which prompts are long for an inference engine. */

import type { Tokens } from '../../types/ids.js';

/**
 * Length from which a prompt delays the other streams of an engine. An engine processes a prompt in
 * chunks (2,048 tokens on common engines) and generates one token of each stream after each chunk.
 * An event of three tokens is thus delayed by up to three chunks; a shorter prompt has fewer.
 */
const LONG_PROMPT_TOKENS: Tokens = 4_000;

/**
 * Whether a request has a long prompt.
 *
 * @example
 * isLongPrompt({ promptTokens: 9_000 }); // true
 */
export function isLongPrompt({ promptTokens = 0 }: { promptTokens?: Tokens }): boolean {
  return promptTokens >= LONG_PROMPT_TOKENS;
}
