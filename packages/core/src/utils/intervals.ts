/** Sets of integers as sorted, disjoint, inclusive intervals; adjacent intervals are merged. */

export type Interval = [number, number];

/**
 * Adds a number and merges adjacent intervals. Returns the same array if the set contained it
 * already.
 *
 * @example
 * addToIntervals([[1, 3], [5, 6]], 4); // [[1, 6]]
 */
export function addToIntervals(intervals: Interval[], value: number): Interval[] {
  if (hasInterval(intervals, value)) return intervals;
  const at = indexAfter(intervals, value);
  const before = intervals[at - 1];
  const after = intervals[at];
  const joinsBefore = before?.[1] === value - 1;
  const joinsAfter = after?.[0] === value + 1;
  const merged: Interval = [joinsBefore ? before[0] : value, joinsAfter ? after[1] : value];
  return [
    ...intervals.slice(0, joinsBefore ? at - 1 : at),
    merged,
    ...intervals.slice(joinsAfter ? at + 1 : at),
  ];
}

/** Whether the set contains the number. */
export function hasInterval(intervals: Interval[], value: number): boolean {
  const candidate = intervals[indexAfter(intervals, value) - 1];
  return candidate !== undefined && candidate[1] >= value;
}

/** Index of the first interval that starts after the value. */
function indexAfter(intervals: Interval[], value: number): number {
  let low = 0;
  let high = intervals.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((intervals[middle]?.[0] ?? Infinity) <= value) low = middle + 1;
    else high = middle;
  }
  return low;
}
