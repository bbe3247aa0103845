/** Names streams, so that all instances find what is known of one. */

import type { RoutedAccount, StreamKey } from '@flamingocourse/core';
import { createHash } from 'node:crypto';

const KEY_BYTES = 12;

/**
 * Returns the key of the stream that a request began. The account is part of it, so no caller reaches a
 * stream of another account by its request id.
 *
 * @example
 * streamKey(account, head.resumes ?? head.id);
 */
export function streamKey(account: RoutedAccount | undefined, requestId: string): StreamKey {
  const hash = createHash('sha1')
    .update(account?.name ?? '')
    .update('\0')
    .update(requestId);
  return hash.digest().subarray(0, KEY_BYTES).toString('base64url');
}
