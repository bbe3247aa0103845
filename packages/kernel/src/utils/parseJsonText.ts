/** Parses JSON text that other processes have written. */

/**
 * Maximum depth of a parsed value. `JSON.parse` accepts any depth, but recursive code such as `JSON.stringify`
 * throws on values that are nested some thousand levels deep.
 */
export const MAX_JSON_DEPTH = 100;

/**
 * Parses JSON text. Arrays and objects nested deeper than {@link MAX_JSON_DEPTH} are replaced by `null`, so that
 * the rest of the value stays usable. Throws `SyntaxError` if the text is not JSON.
 *
 * @example
 * parseJsonText('{"slots":8}'); // { slots: 8 }
 */
export function parseJsonText(text: string): unknown {
  const value: unknown = JSON.parse(text);
  return isDeeperThan(value, MAX_JSON_DEPTH) ? cutBelow(value, MAX_JSON_DEPTH) : value;
}

/**
 * Whether a parsed value is nested deeper than a number of levels; `[]` has one level.
 *
 * @example
 * isDeeperThan([[1]], 1); // true
 */
export function isDeeperThan(value: unknown, levels: number): boolean {
  if (typeof value !== 'object' || value === null) return false;
  if (levels === 0) return true;
  return Object.values(value).some((part) => isDeeperThan(part, levels - 1));
}

function cutBelow(value: unknown, levels: number): unknown {
  if (typeof value !== 'object' || value === null) return value;
  if (levels === 0) return null;
  if (Array.isArray(value)) return value.map((part) => cutBelow(part, levels - 1));
  const parts = Object.entries(value).map(([name, part]) => [name, cutBelow(part, levels - 1)]);
  return Object.fromEntries(parts);
}
