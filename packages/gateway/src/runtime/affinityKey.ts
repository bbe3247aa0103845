/** Which part of a prompt decides where its request goes. */

import type { PromptPart } from '../types/call.js';

/**
 * The part by which requests are kept together at a server. Of three or more parts it is the second:
 * the first is shared by so many requests that one server could not take them all, and is soon read
 * at every server anyhow; the last belongs to the request alone.
 *
 * @example
 * affinityKey([{ id: 'a', tokens: 2_500 }, { id: 'b', tokens: 3_800 }, { id: 'c', tokens: 900 }]); // 'b'
 */
export function affinityKey(parts: readonly PromptPart[]): string | undefined {
  return (parts.length > 2 ? parts[1] : parts[0])?.id;
}
