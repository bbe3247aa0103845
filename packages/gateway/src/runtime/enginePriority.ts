/** Admission priority of requests that wait at an engine at the same time. */

import type { GenerationSize } from '../types/call.js';

/** Priority of requests with at most `maxTokens` prompt tokens; 0 is admitted first. */
interface PriorityStep {
  maxTokens: number;
  priority: number;
}

/**
 * Shortest prompt first. An engine processes prompts one after the other: a prompt of 500 tokens
 * behind one of 30,000 waits most of a second, while the short prompt delays the long one only
 * slightly. This reduces the waiting time of nearly all requests at the expense of a few very long
 * ones. The steps follow the sizes of chats, drafts and digests.
 */
const STEPS: readonly PriorityStep[] = [
  { maxTokens: 1_000, priority: 1 },
  { maxTokens: 2_500, priority: 2 },
  { maxTokens: 6_000, priority: 3 },
  { maxTokens: 10_000, priority: 4 },
  { maxTokens: 16_000, priority: 5 },
];
const LONGEST_PRIORITY = 6;

/**
 * Returns the priority of a generation, from 0 (first) to 9.
 *
 * @example
 * enginePriority({ prompt: 543, most: 80 }); // 1
 */
export function enginePriority(size: GenerationSize): number {
  return STEPS.find(({ maxTokens }) => size.prompt <= maxTokens)?.priority ?? LONGEST_PRIORITY;
}
