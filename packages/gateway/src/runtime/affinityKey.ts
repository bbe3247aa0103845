/** Selects the part of a prompt that is used for server affinity. */

import type { PromptPart } from '../types/call.js';

/**
 * Returns the id of the part by which requests are kept together at a server. For three or more
 * parts it is the second: the first is shared by more requests than one server could take, and
 * every server has soon cached it; the last is unique to the request.
 *
 * @example
 * affinityKey([{ id: 'a', tokens: 2_500 }, { id: 'b', tokens: 3_800 }, { id: 'c', tokens: 900 }]); // 'b'
 */
export function affinityKey(parts: readonly PromptPart[]): string | undefined {
  return (parts.length > 2 ? parts[1] : parts[0])?.id;
}
