/** Which prompts are long for an engine. */

import type { Tokens } from '../../types/ids.js';

/**
 * Prompts from this length on delay the other streams of an engine. An engine reads a prompt in parts, on
 * common engines of 2,048 tokens, and each of its streams waits for one part per token; an event of
 * three tokens so waits for three parts, which a shorter prompt does not have.
 */
const LONG_PROMPT: Tokens = 4_000;

/**
 * Whether a request has a long prompt.
 *
 * @example
 * isLongPrompt({ promptTokens: 9_000 }); // true
 */
export function isLongPrompt({ promptTokens = 0 }: { promptTokens?: Tokens }): boolean {
  return promptTokens >= LONG_PROMPT;
}
