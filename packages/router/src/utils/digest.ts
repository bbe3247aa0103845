/** SHA-256 digests of keys, request bodies and prompts. */

import { createHash } from 'node:crypto';

/**
 * Returns the SHA-256 of the parts, in hex. Each part is prefixed with its length in bytes, so that
 * ('a', 'bc') and ('ab', 'c') have different digests.
 *
 * @example
 * digest(account, idempotencyKey);
 */
export function digest(...parts: (string | Buffer)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${Buffer.byteLength(part)}:`);
    hash.update(part);
  }
  return hash.digest('hex');
}

/** Returns the SHA-256 of an API key in hex, the form used in client account declarations. */
export function apiKeyDigest(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
