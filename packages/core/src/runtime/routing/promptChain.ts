/** Names the chains of prompt parts that engines cache. */

import type { PromptPart } from '../../types/promptPart.js';
import { hash32 } from '../../utils/hash.js';

/** Maximum number of parts of a prompt that are considered; callers send up to three. */
const MAX_PARTS = 8;
/** Maximum characters of a part's id that a key holds, so that the memory for keys is bounded. */
const MAX_ID_LENGTH = 64;

/**
 * Returns a key for each part of a prompt. Keys are equal only if all parts before are equal too,
 * because a cached part is of no use without them.
 *
 * @example
 * chainKeys([{ id: 'a', tokens: 800 }, { id: 'b', tokens: 200 }]); // two keys
 */
export function chainKeys(parts: readonly PromptPart[]): string[] {
  let key = '';
  return parts.slice(0, MAX_PARTS).map(({ id }) => {
    key = `${hash32(`${key}/${id}`).toString(36)}:${id.slice(0, MAX_ID_LENGTH)}`;
    return key;
  });
}
