/**
 * Reads declaration files. Each object is checked separately, so that a faulty object does not
 * affect the others of its file.
 */

import type { JsoncDocument, JsoncPath, SourceFault } from '../../utils/jsonc.js';
import type { ParsedDeclaration } from './declarationSchema.js';
import type { DeclarationKind } from '../../types/declaration.js';
import { checkWithPositions, faultAt } from '../../utils/jsoncCheck.js';
import { declarationKinds, declarationSchema, explainDerivedKey } from './declarationSchema.js';
import { Result } from 'true-myth';
import { parseJsonc } from '../../utils/jsonc.js';

/** Text of a declaration file. */
export interface SourceFile {
  file: string;
  text: string;
}

/** Kind and name of a declared object. */
export interface ObjectKey {
  kind: DeclarationKind;
  name: string;
}

/** A well-formed object and its position in a file. */
export interface ParsedObject {
  parsed: ParsedDeclaration;
  document: JsoncDocument;
  at: JsoncPath;
}

/** Objects and faults of the files read. */
export interface ReadResult {
  objects: ParsedObject[];
  faults: SourceFault[];
  /** Faulty objects that could be identified. Their versions in force stay in force. */
  faulty: ObjectKey[];
  /** Whether some faulty object could not be identified, so that nothing may be pruned. */
  unnamedFaults: boolean;
}

/**
 * Reads all objects of the given files. A file holds one object or an array of objects.
 *
 * @example
 * const { objects, faults } = readDeclarations([{ file: 'classes.jsonc', text }]);
 */
export function readDeclarations(files: readonly SourceFile[]): ReadResult {
  const result: ReadResult = { objects: [], faults: [], faulty: [], unnamedFaults: false };
  for (const { file, text } of files) {
    const document = parseJsonc(text, file);
    if (document.isErr) {
      result.faults.push(...document.error);
      result.unnamedFaults = true;
      continue;
    }
    for (const at of objectPaths(document.value)) readObject(document.value, at, result);
  }
  return result;
}

/** Creates a fault at a path within an object. */
export function faultOf(
  object: ParsedObject,
  path: JsoncPath,
  message: string,
  hint: string,
): SourceFault {
  return faultAt(object.document, [...object.at, ...path], message, hint);
}

/** Name under which an object is stored, such as `WorkClass.reservations`. */
export function objectName(key: ObjectKey): string {
  return `${key.kind}.${key.name}`;
}

/**
 * Parses `Kind.name`, as written by {@link objectName}.
 *
 * @example parseObjectName('Service.deel-llm') // ok({ kind: 'Service', name: 'deel-llm' })
 */
export function parseObjectName(text: string): Result<ObjectKey, string> {
  const [kindText = '', ...rest] = text.split('.');
  const kind = declarationKinds.find((one) => one === kindText);
  const name = rest.join('.');
  if (kind && name !== '') return Result.ok({ kind, name });
  return Result.err(
    `"${text}" is not an object name. Write Kind.name with one of ${declarationKinds.join(', ')}.`,
  );
}

function objectPaths(document: JsoncDocument): JsoncPath[] {
  if (!Array.isArray(document.value)) return [[]];
  return document.value.map((_, index) => [index]);
}

function readObject(document: JsoncDocument, at: JsoncPath, result: ReadResult): void {
  const checked = checkWithPositions(declarationSchema, document, {
    at,
    explainKey: explainDerivedKey,
    // if an operator wrote the key itself instead of its digest, the key must not reach the CI log
    isSecret: (path) => path.includes('apiKeyDigests'),
  });
  if (checked.isOk) {
    result.objects.push({ parsed: checked.value, document, at });
    return;
  }
  result.faults.push(...checked.error);
  const key = identifyObject(document, at);
  if (key) result.faulty.push(key);
  else result.unnamedFaults = true;
}

function identifyObject(document: JsoncDocument, at: JsoncPath): ObjectKey | undefined {
  const index = at[0];
  const value = index === undefined ? document.value : (document.value as unknown[])[Number(index)];
  if (typeof value !== 'object' || value === null) return undefined;
  const { kind, name } = value as Record<string, unknown>;
  const known = declarationKinds.find((one) => one === kind);
  return known && typeof name === 'string' ? { kind: known, name } : undefined;
}
