/** Parser for JSON with comments that reports the line and column of each fault. */

import type { Node, ParseError } from 'jsonc-parser';
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser';
import { Result } from 'true-myth';

/** Steps from the root of a document to a value. */
export type JsoncPath = (string | number)[];

/** A fault in a file, with its position and a hint on how to correct it. */
export interface SourceFault {
  file: string;
  /** Counted from 1. */
  line: number;
  /** Counted from 1. */
  column: number;
  /** Path of the value with dots, empty for the whole document. */
  path: string;
  /** Describes the fault. */
  message: string;
  /** Tells how to correct it. */
  hint: string;
}

/** Line and column, both counted from 1. */
export interface SourcePosition {
  line: number;
  column: number;
}

/** A parsed document with the positions of its values. */
export interface JsoncDocument {
  file: string;
  value: unknown;
  /** Position of a value or, with `ofKey`, of its key. If absent, that of the nearest ancestor. */
  positionOf(path: JsoncPath, ofKey?: 'key'): SourcePosition;
}

const syntaxHints: Record<string, string> = {
  CommaExpected: 'Put a comma after the value before this place.',
  ColonExpected: 'Put a colon between the key and its value.',
  PropertyNameExpected: 'Write a key in double quotes here, or remove the comma before it.',
  ValueExpected: 'Write a value here, or remove the comma before it.',
  CloseBraceExpected: 'Close the object with "}".',
  CloseBracketExpected: 'Close the array with "]".',
  EndOfFileExpected: 'Remove what follows the first value, or put all objects into one array.',
  InvalidSymbol: 'Put text in double quotes; other values are numbers, true, false and null.',
  UnexpectedEndOfString: 'Close the text with a double quote on the same line.',
  UnexpectedEndOfComment: 'Close the comment with "*/".',
};

/**
 * Parses JSON with comments and trailing commas. Returns the document, or all syntax faults, or all
 * repeated keys.
 *
 * @example
 * const document = parseJsonc('{ "port": 80 } // entry', 'router.jsonc');
 */
export function parseJsonc(text: string, file: string): Result<JsoncDocument, SourceFault[]> {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const lineStarts = findLineStarts(text);
  if (errors.length > 0) {
    return Result.err(errors.map((err) => describeSyntax(err, file, lineStarts)));
  }
  if (!root) {
    const hint = 'Write one object or an array of objects.';
    return Result.err([{ file, line: 1, column: 1, path: '', message: 'the file is empty', hint }]);
  }
  const repeated = findRepeatedKeys(root, [], file, lineStarts);
  if (repeated.length > 0) return Result.err(repeated);
  return Result.ok(createDocument(root, file, lineStarts));
}

/**
 * Formats a fault as one line of text.
 *
 * @example formatFault(fault) // 'a.jsonc:3:5: target.firstTokenMs: must be a number. Write ...'
 */
export function formatFault(fault: SourceFault): string {
  const path = fault.path === '' ? '' : ` ${fault.path}:`;
  return `${fault.file}:${fault.line}:${fault.column}:${path} ${fault.message}. ${fault.hint}`;
}

/** Formats a path with dots, as in `classes.0.name`. */
export function formatPath(path: JsoncPath): string {
  return path.join('.');
}

function createDocument(root: Node, file: string, lineStarts: number[]): JsoncDocument {
  return {
    file,
    value: getNodeValue(root) as unknown,
    positionOf: (path, ofKey) => {
      const node = findNearest(root, path);
      const found = findNodeAtLocation(root, path) !== undefined;
      const key = found && ofKey && node.parent?.type === 'property' ? node.parent : node;
      return positionAt(key.offset, lineStarts);
    },
  };
}

function findNearest(root: Node, path: JsoncPath): Node {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node) return node;
  }
  return root;
}

function findLineStarts(text: string): number[] {
  const starts = [0];
  for (let index = text.indexOf('\n'); index >= 0; index = text.indexOf('\n', index + 1)) {
    starts.push(index + 1);
  }
  return starts;
}

function positionAt(offset: number, lineStarts: number[]): SourcePosition {
  let line = 0;
  while (line + 1 < lineStarts.length && (lineStarts[line + 1] ?? 0) <= offset) line += 1;
  return { line: line + 1, column: offset - (lineStarts[line] ?? 0) + 1 };
}

function describeSyntax(err: ParseError, file: string, lineStarts: number[]): SourceFault {
  const code = printParseErrorCode(err.error);
  const words = code.replace(/(?<=[a-z])[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`);
  const hint = syntaxHints[code] ?? 'Write valid JSON; comments and trailing commas are allowed.';
  const message = `not valid JSON: ${words.toLowerCase()}`;
  return { file, ...positionAt(err.offset, lineStarts), path: '', message, hint };
}

// JSON parsers use the last of several equal keys and would silently ignore the others
function findRepeatedKeys(
  node: Node,
  path: JsoncPath,
  file: string,
  lineStarts: number[],
): SourceFault[] {
  const faults: SourceFault[] = [];
  const seen = new Map<string, SourcePosition>();
  for (const [index, child] of (node.children ?? []).entries()) {
    if (node.type === 'array') {
      faults.push(...findRepeatedKeys(child, [...path, index], file, lineStarts));
      continue;
    }
    const [keyNode, valueNode] = child.children ?? [];
    if (!keyNode || !valueNode) continue;
    const key = String(keyNode.value);
    const at = positionAt(keyNode.offset, lineStarts);
    const first = seen.get(key);
    if (first) faults.push(describeRepeatedKey([...path, key], at, first, file));
    seen.set(key, first ?? at);
    faults.push(...findRepeatedKeys(valueNode, [...path, key], file, lineStarts));
  }
  return faults;
}

function describeRepeatedKey(
  path: JsoncPath,
  at: SourcePosition,
  first: SourcePosition,
  file: string,
): SourceFault {
  const message = `the key "${String(path.at(-1))}" is repeated here`;
  const hint = `Remove this one or the one on line ${first.line}.`;
  return { file, ...at, path: formatPath(path), message, hint };
}
