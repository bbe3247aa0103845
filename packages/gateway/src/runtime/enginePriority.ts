/** In which order an engine should admit requests that wait at the same time. */

import type { GenerationSize } from '../types/call.js';

/** Requests with at most so many prompt tokens get the priority; 0 is admitted first. */
interface PriorityStep {
  upTo: number;
  priority: number;
}

/**
 * Shortest work first. An engine reads prompts one after the other: behind one of 30,000 tokens a
 * question of 500 waits most of a second, while the long one hardly notices the short one before it.
 * Waiting times so fall for nearly all, at the expense of a few very long ones. The steps follow the
 * sizes of chats, drafts and digests.
 */
const STEPS: readonly PriorityStep[] = [
  { upTo: 1_000, priority: 1 },
  { upTo: 2_500, priority: 2 },
  { upTo: 6_000, priority: 3 },
  { upTo: 10_000, priority: 4 },
  { upTo: 16_000, priority: 5 },
];
const LONGEST_PRIORITY = 6;

/**
 * Priority of a generation, from 0 (first) to 9.
 *
 * @example
 * enginePriority({ prompt: 543, most: 80 }); // 1
 */
export function enginePriority(size: GenerationSize): number {
  return STEPS.find(({ upTo }) => size.prompt <= upTo)?.priority ?? LONGEST_PRIORITY;
}
