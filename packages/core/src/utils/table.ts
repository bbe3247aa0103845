/**
 * Tables with entries by name, in the form that JSON has for them. The names come from operators, servers and
 * peers; a plain index would find what every object inherits under names such as `constructor`, and replace
 * the prototype under `__proto__`. Tables that no JSON holds are maps.
 */

import { z } from 'zod';

/** Entries by name. Read them by {@link entryOf} and write them by {@link setEntry}. */
export type Table<T> = Record<string, T>;

/**
 * Returns the entry with a name; undefined if the table has none of its own.
 *
 * @example
 * entryOf({ shop: 1 }, 'constructor'); // undefined
 */
export function entryOf<T>(table: Readonly<Table<T>> | undefined, name: string): T | undefined {
  return table !== undefined && Object.hasOwn(table, name) ? table[name] : undefined;
}

/** Whether a table has an entry with a name. */
export function hasEntry(table: Readonly<Table<unknown>>, name: string): boolean {
  return Object.hasOwn(table, name);
}

/** Adds or replaces an entry of a table that nobody else holds. */
export function setEntry<T>(table: Table<T>, name: string, value: NoInfer<T>): void {
  // only this name has a setter; all others are assigned, which takes a fraction of the time.
  if (name !== '__proto__') table[name] = value;
  else
    Object.defineProperty(table, name, {
      value,
      configurable: true,
      enumerable: true,
      writable: true,
    });
}

/** Returns a table without one of its entries. */
export function withoutEntry<T>(table: Readonly<Table<T>>, name: string): Table<T> {
  return Object.fromEntries(Object.entries(table).filter(([other]) => other !== name));
}

/**
 * Schema of a table. Unlike `z.record`, which reads all other entries, it keeps an entry named `__proto__`.
 *
 * @example
 * tableSchema(z.string(), z.number()).parse(JSON.parse('{"__proto__":1}'));
 */
export function tableSchema<T>(name: z.ZodType<string>, value: z.ZodType<T>): z.ZodType<Table<T>> {
  const record = z.record(name, value);
  const named = z.object({ name, value });
  return z.unknown().transform((input, context) => {
    const table = record.safeParse(input);
    for (const issue of table.error?.issues ?? []) context.addIssue({ ...issue });
    if (!table.success) return z.NEVER;
    const entry = ownPrototypeEntry(input);
    if (!entry) return table.data;
    const kept = named.safeParse(entry);
    for (const issue of kept.error?.issues ?? []) {
      context.addIssue({ ...issue, path: [entry.name, ...issue.path.slice(1)] });
    }
    if (kept.success) setEntry(table.data, kept.data.name, kept.data.value);
    return table.data;
  });
}

/** A table whose entries were read one by one. */
export interface PartlyReadTable<T> {
  readable: Table<T>;
  /** The other entries, as they are; absent if there are none. */
  unreadable?: Table<unknown>;
}

/**
 * Schema of a table in which an entry that cannot be read costs itself alone.
 *
 * @example
 * partlyReadTableSchema(z.string(), z.number()).parse({ a: 1, b: 'x' });
 * // { readable: { a: 1 }, unreadable: { b: 'x' } }
 */
export function partlyReadTableSchema<T>(
  name: z.ZodType<string>,
  value: z.ZodType<T>,
): z.ZodType<PartlyReadTable<T>> {
  const whole = tableSchema(name, value);
  const entries = tableSchema(z.string(), z.unknown());
  return z.unknown().transform((input, context) => {
    const read = whole.safeParse(input);
    if (read.success) return { readable: read.data };
    const any = entries.safeParse(input);
    for (const issue of any.error?.issues ?? []) context.addIssue({ ...issue });
    return any.success ? readEntries(any.data, name, value) : z.NEVER;
  });
}

function readEntries<T>(
  entries: Table<unknown>,
  name: z.ZodType<string>,
  value: z.ZodType<T>,
): PartlyReadTable<T> {
  const readable: Table<T> = {};
  const unreadable: Table<unknown> = {};
  for (const [key, entry] of Object.entries(entries)) {
    const read = value.safeParse(entry);
    if (read.success && name.safeParse(key).success) setEntry(readable, key, read.data);
    else setEntry(unreadable, key, entry);
  }
  return { readable, unreadable };
}

/** The entry named `__proto__` of a JSON value, if it has one. */
function ownPrototypeEntry(input: unknown): { name: string; value: unknown } | undefined {
  const own = Object.getOwnPropertyDescriptor(input, '__proto__');
  return own && { name: '__proto__', value: own.value as unknown };
}
