/** Maximum number of different texts that are remembered; none after them is new. */
const MAX_TEXTS = 100;

/**
 * Returns a function that says whether a text is given to it for the first time, for log lines on what is read
 * again and again.
 *
 * @example
 * const isFirst = firstTimes();
 * isFirst('a'); // true
 * isFirst('a'); // false
 */
export function firstTimes(): (text: string) => boolean {
  const given = new Set<string>();
  return (text) => {
    if (given.has(text) || given.size >= MAX_TEXTS) return false;
    given.add(text);
    return true;
  };
}
