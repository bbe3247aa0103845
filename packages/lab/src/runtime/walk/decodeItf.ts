/**
 * Decodes the Informal Trace Format (ITF), in which Quint writes traces: maps become objects, and
 * sets become sorted arrays.
 */

/**
 * Decodes one state of a trace.
 *
 * @example
 * decodeItf({ limit: { '#bigint': '4' } }); // { limit: 4 }
 */
export function decodeItf(state: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(state).map(([key, value]) => [key, decode(value)]));
}

function decode(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(decode);
  if (value === null || typeof value !== 'object') return value;
  const record = value as Record<string, unknown>;
  if ('#bigint' in record) return Number(record['#bigint']);
  if (Array.isArray(record['#tup'])) return record['#tup'].map(decode);
  if (Array.isArray(record['#set'])) return record['#set'].map(decode).sort(byText);
  if (Array.isArray(record['#map'])) {
    return Object.fromEntries(record['#map'].map((entry) => decodeEntry(entry as unknown[])));
  }
  return decodeItf(record);
}

function decodeEntry([key, value]: unknown[]): [string, unknown] {
  return [String(decode(key)), decode(value)];
}

function byText(left: unknown, right: unknown): number {
  return JSON.stringify(left) < JSON.stringify(right) ? -1 : 1;
}
