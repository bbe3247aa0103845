/**
 * Returns the sum of numbers, 0 if there are none.
 *
 * @example
 * sum([1, 2]); // 3
 */
export function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
