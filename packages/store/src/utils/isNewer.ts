/**
 * Returns whether a version of the store is newer than another. Versions are decimal counters.
 *
 * @example
 * isNewer('10', '9'); // true
 */
export function isNewer(version: string, than: string): boolean {
  return BigInt(version) > BigInt(than);
}
