/** Fast non-cryptographic hashes for placement; the same in every instance and release. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes text to an unsigned 32-bit number (FNV-1a with a final mix).
 *
 * @example
 * hash32('dc-a/router-1');
 */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return mix32(hash);
}

/** Mixes the bits of a 32-bit number, so that adjacent inputs give unrelated outputs. */
export function mix32(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Score of an id for a key in rendezvous hashing; the id with the highest score owns the key. */
export function rendezvousRank(keyHash: number, idHash: number): number {
  return mix32(keyHash ^ idHash);
}

/**
 * Rendezvous hashing: the id with the highest score owns the key. Adding or removing an id moves
 * only the keys of that id.
 *
 * @example
 * rendezvousOwner('journal', ['router-1', 'router-2']);
 */
export function rendezvousOwner(key: string, ids: Iterable<string>): string | undefined {
  const keyHash = hash32(key);
  let owner: string | undefined;
  let best = -1;
  for (const id of ids) {
    const score = rendezvousRank(keyHash, hash32(id));
    if (score > best || (score === best && owner !== undefined && id < owner)) {
      owner = id;
      best = score;
    }
  }
  return owner;
}

/**
 * Orders items by their score for a key, the owner first. The order depends on the names alone, also
 * where scores are equal.
 *
 * @example
 * rendezvousOrder('dc-a', instances)[0]; // the instance that rendezvousOwner names
 */
export function rendezvousOrder<T extends { name: string }>(key: string, items: readonly T[]): T[] {
  const keyHash = hash32(key);
  return items
    .map((item) => ({ item, score: rendezvousRank(keyHash, hash32(item.name)) }))
    .sort((a, b) => b.score - a.score || (a.item.name < b.item.name ? -1 : 1))
    .map(({ item }) => item);
}
