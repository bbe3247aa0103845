/** Parts of a prompt that requests share. */

import type { CallHead, PromptPart } from '../types/call.js';

/** Maximum number of parts of a prompt that are judged as causes of crashes, and logged. */
const MAX_PARTS = 8;

/**
 * Returns the parts that other requests may share. The last part of a prompt is the request's own.
 *
 * @example
 * sharedParts([{ id: '5c', tokens: 800 }, { id: 'e4', tokens: 250 }]); // [{ id: '5c', tokens: 800 }]
 */
export function sharedParts(parts: readonly PromptPart[]): PromptPart[] {
  return parts.slice(0, -1).slice(0, MAX_PARTS);
}

/** Ids of the parts of the prompt that other requests may share; undefined if there are none. */
export function sharedPartIds({ promptParts }: CallHead): string | undefined {
  const ids = sharedParts(promptParts).map(({ id }) => id);
  return ids.length > 0 ? ids.join(' ') : undefined;
}
