/** Checks a parsed document against a zod schema and gives a hint for each fault. */

import type { JsoncDocument, JsoncPath, SourceFault } from './jsonc.js';
import { formatPath } from './jsonc.js';
import { Result } from 'true-myth';
import { z } from 'zod';
import type { Table } from './table.js';
import { entryOf } from './table.js';

type Issue = z.core.$ZodIssue;

/** Options of {@link checkWithPositions}. */
export interface CheckOptions {
  /** Path of the value within the document. @default the whole document */
  at?: JsoncPath;
  /** Returns a hint for an unknown key, if a specific one is known. */
  explainKey?: (key: string) => string | undefined;
  /** Whether the value at a path is secret, so that no message may show it. @default always false */
  isSecret?: (path: JsoncPath) => boolean;
}

/** Maximum edit distance at which a word counts as a misspelling of a known one. */
const maxMisspellingDistance = 3;
/** Maximum number of characters of a faulty value in a message. */
const maxShownLength = 60;

/**
 * Parses a value of a document with a schema. Returns the value with defaults, or all faults. The
 * description of a schema is used in the hints for its value.
 *
 * @example
 * const schema = z.strictObject({ port: z.number().describe('a port from 1 to 65535') });
 * const checked = checkWithPositions(schema, document);
 */
export function checkWithPositions<T>(
  schema: z.ZodType<T>,
  document: JsoncDocument,
  options: CheckOptions = {},
): Result<T, SourceFault[]> {
  const at = options.at ?? [];
  const value = valueAt(document.value, at);
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const faults = parsed.error.issues.flatMap((issue) =>
    issue.code === 'unrecognized_keys'
      ? issue.keys.map((key) => describeUnknownKey(schema, document, issue, key, options))
      : [describeIssue(schema, document, issue, options)],
  );
  return Result.err(faults);
}

/** Creates a fault at the position of a value. */
export function faultAt(
  document: JsoncDocument,
  path: JsoncPath,
  message: string,
  hint: string,
): SourceFault {
  const position = document.positionOf(path);
  return { file: document.file, ...position, path: formatPath(path), message, hint };
}

/**
 * Finds the known word closest to a misspelt one; undefined if none is close enough.
 *
 * @example closestWord('budgetshare', ['budgetShare']) // 'budgetShare'
 */
export function closestWord(word: string, known: readonly string[]): string | undefined {
  const ranked = known
    .map((candidate) => ({ candidate, distance: editDistance(word, candidate) }))
    .sort((a, b) => a.distance - b.distance);
  const best = ranked[0];
  const limit = Math.min(maxMisspellingDistance, Math.ceil(word.length / 2));
  return best && best.distance <= limit ? best.candidate : undefined;
}

function describeIssue(
  schema: z.ZodType,
  document: JsoncDocument,
  issue: Issue,
  options: CheckOptions,
): SourceFault {
  const at = options.at ?? [];
  const inner = issue.path as JsoncPath;
  const path = [...at, ...inner];
  const value = valueAt(document.value, path);
  const about = schemaAt(schema, inner, document.value, at)?.description;
  const hint = about ? `Write ${about}.` : 'Change the value as the message says.';
  const isSecret = options.isSecret?.(path) ?? false;
  return faultAt(document, path, describeMessage(issue, value, isSecret), hint);
}

function describeMessage(issue: Issue, value: unknown, isSecret: boolean): string {
  if (value === undefined) return 'this key is missing';
  const given = isSecret ? 'the value' : JSON.stringify(value).slice(0, maxShownLength);
  switch (issue.code) {
    case 'invalid_value':
      return `${given} is not one of ${issue.values.map((one) => JSON.stringify(one)).join(', ')}`;
    case 'invalid_type':
      return `${given} is not of type ${issue.expected}`;
    case 'too_small':
      return `${given} is too small, the minimum is ${String(issue.minimum)}`;
    case 'too_big':
      return `${given} is too large, the maximum is ${String(issue.maximum)}`;
    case 'invalid_format':
      return `${given} does not have the required format`;
    case 'invalid_union':
      return `${given} is not a known kind`;
    case 'custom':
    case 'invalid_element':
    case 'invalid_key':
    case 'not_multiple_of':
    case 'unrecognized_keys':
      return issue.message;
  }
}

function describeUnknownKey(
  schema: z.ZodType,
  document: JsoncDocument,
  issue: Issue,
  key: string,
  options: CheckOptions,
): SourceFault {
  const at = options.at ?? [];
  const inner = issue.path as JsoncPath;
  const path = [...at, ...inner, key];
  const known = knownKeys(schemaAt(schema, inner, document.value, at));
  const fault = faultAt(document, path, `the key "${key}" is not known here`, '');
  const hint = options.explainKey?.(key) ?? suggestKey(key, known);
  return { ...fault, ...document.positionOf(path, 'key'), hint };
}

function suggestKey(key: string, known: string[]): string {
  const closest = closestWord(key, known);
  if (closest) return `Did you mean "${closest}"?`;
  return `Remove it; known keys are ${known.join(', ')}.`;
}

function knownKeys(schema: z.ZodType | undefined): string[] {
  const inner = schema && unwrapSchema(schema);
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}

/**
 * Finds the schema at a path. Wrappers such as optional are removed, unless they have their own
 * description.
 */
function schemaAt(
  schema: z.ZodType,
  path: JsoncPath,
  root: unknown,
  at: JsoncPath,
): z.ZodType | undefined {
  let current: z.ZodType | undefined = narrowUnion(unwrapSchema(schema), valueAt(root, at));
  for (const [index, step] of path.entries()) {
    if (current instanceof z.ZodObject) {
      current = entryOf(current.shape as Table<z.ZodType>, String(step));
    } else if (current instanceof z.ZodArray) {
      current = current.element as z.ZodType;
    } else {
      return undefined;
    }
    if (current && index < path.length - 1) current = unwrapSchema(current);
  }
  return current?.description ? current : current && unwrapSchema(current);
}

function unwrapSchema(schema: z.ZodType): z.ZodType {
  let current = schema;
  while (
    current instanceof z.ZodOptional ||
    current instanceof z.ZodDefault ||
    current instanceof z.ZodPrefault
  ) {
    current = current.unwrap() as z.ZodType;
  }
  return current;
}

function narrowUnion(schema: z.ZodType, value: unknown): z.ZodType | undefined {
  if (!(schema instanceof z.ZodDiscriminatedUnion)) return schema;
  const key = schema.def.discriminator;
  const given = valueAt(value, [key]);
  const options = schema.options as z.ZodType[];
  return options.find((option) => {
    if (!(option instanceof z.ZodObject)) return false;
    const tag = entryOf(option.shape as Table<z.ZodType>, key);
    return tag?.safeParse(given).success ?? false;
  });
}

function valueAt(value: unknown, path: JsoncPath): unknown {
  let current = value;
  for (const step of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = entryOf(current as Table<unknown>, String(step));
  }
  return current;
}

function editDistance(left: string, right: string): number {
  const a = left.toLowerCase();
  const b = right.toLowerCase();
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let row = 1; row <= a.length; row += 1) {
    const next = [row];
    for (let column = 1; column <= b.length; column += 1) {
      const same = a[row - 1] === b[column - 1] ? 0 : 1;
      const replace = (previous[column - 1] ?? 0) + same;
      const insert = (next[column - 1] ?? 0) + 1;
      next.push(Math.min(replace, insert, (previous[column] ?? 0) + 1));
    }
    previous = next;
  }
  return previous[b.length] ?? 0;
}
