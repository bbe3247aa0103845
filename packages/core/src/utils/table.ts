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
 * Schema of a table. Unlike `z.record` it keeps an entry named `__proto__`.
 *
 * @example
 * tableSchema(z.string(), z.number()).parse(JSON.parse('{"__proto__":1}'));
 */
export function tableSchema<T>(name: z.ZodType<string>, value: z.ZodType<T>): z.ZodType<Table<T>> {
  return z.unknown().transform((input, context) => {
    if (typeof input !== 'object' || input === null || Array.isArray(input)) {
      context.addIssue({ code: 'custom', message: 'not a table' });
      return z.NEVER;
    }
    const entries = Object.entries(input).map(([key, entry]: [string, unknown]): [string, T] => {
      const parsed = z.tuple([name, value]).safeParse([key, entry]);
      if (parsed.success) return parsed.data;
      const message = parsed.error.issues.map((issue) => issue.message).join(', ');
      context.addIssue({ code: 'custom', path: [key], message });
      return z.NEVER;
    });
    return Object.fromEntries(entries);
  });
}
