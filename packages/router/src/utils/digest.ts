/** Digests of keys, bodies and prompts. */

import { createHash } from 'node:crypto';

/**
 * SHA-256 of the parts, in hex. Parts are separated, so that ('a', 'bc') and ('ab', 'c') differ.
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

/** SHA-256 of an API key, in the form that declarations carry. */
export function apiKeyDigest(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
