/** Rendezvous hashing: every router that knows the same members finds the same owner of a key. */

import { createHash } from 'node:crypto';

/**
 * Finds the owner of a key: the candidate with the highest hash of key and candidate. When a
 * candidate leaves, only its own keys move.
 *
 * @example
 * findOwner('journal', ['dc-a/r1/0a', 'dc-a/r2/0b']);
 */
export function findOwner(key: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates.map((candidate) => ({ candidate, rank: hashPair(key, candidate) }));
  ranked.sort((a, b) => (a.rank < b.rank ? 1 : -1));
  return ranked[0]?.candidate;
}

function hashPair(key: string, candidate: string): string {
  return createHash('sha1').update(`${key}\n${candidate}`).digest('hex');
}
