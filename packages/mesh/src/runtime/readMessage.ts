/** Reads what peers send: an entry of a list or a table that cannot be read costs itself alone. */

import type { ZodType } from 'zod';
import { entryOf, hasEntry, setEntry } from '@flamingocourse/core';
import { loggedText } from '@flamingocourse/kernel';

/** Schemas of the entries that stand alone, by the field that holds their list or table. */
export type EntrySchemas = Readonly<Record<string, ZodType>>;

/** Entries of a message that could not be read. */
export interface UnreadableEntries {
  /** Field of the message. */
  field: string;
  count: number;
  /** The beginning of the first one, as JSON. */
  first: string;
}

/** A message without the entries that could not be read. */
export interface ReadMessage<T> {
  message: T;
  unreadable: UnreadableEntries[];
}

/**
 * Reads a message. Throws the error of the schema if it cannot be read without the entries that stand alone.
 *
 * @example
 * readMessage(z.object({ seen: z.array(z.number()) }), { seen: z.number() }, { seen: [1, 'x'] });
 * // { message: { seen: [1] }, unreadable: [{ field: 'seen', count: 1, first: '"x"' }] }
 */
export function readMessage<T>(
  schema: ZodType<T>,
  entries: EntrySchemas | undefined,
  value: unknown,
): ReadMessage<T> {
  const whole = schema.safeParse(value);
  if (whole.success) return { message: whole.data, unreadable: [] };
  if (!entries || !isObject(value)) throw whole.error;
  const rest = { ...value };
  const unreadable: UnreadableEntries[] = [];
  for (const [field, entry] of Object.entries(entries)) {
    if (!hasEntry(rest, field)) continue;
    const part = readEntries(entryOf(rest, field), entry);
    setEntry(rest, field, part.readable);
    if (part.unreadable.length > 0) unreadable.push({ field, ...describe(part.unreadable) });
  }
  return { message: schema.parse(rest), unreadable };
}

function readEntries(list: unknown, entry: ZodType): { readable: unknown; unreadable: unknown[] } {
  const isReadable = (each: unknown): boolean => entry.safeParse(each).success;
  if (Array.isArray(list)) {
    const all = list as unknown[];
    return {
      readable: all.filter(isReadable),
      unreadable: all.filter((each) => !isReadable(each)),
    };
  }
  if (!isObject(list)) return { readable: list, unreadable: [] };
  const all = Object.entries(list);
  return {
    readable: Object.fromEntries(all.filter(([, each]) => isReadable(each))),
    unreadable: all.filter(([, each]) => !isReadable(each)),
  };
}

function describe(unreadable: unknown[]): Omit<UnreadableEntries, 'field'> {
  return { count: unreadable.length, first: loggedText(JSON.stringify(unreadable[0])) };
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
