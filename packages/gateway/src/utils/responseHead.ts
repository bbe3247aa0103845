/** Parses the head of an HTTP response, more strictly than clients do. */

/** Maximum bytes of a head; Node.js accepts no longer one. */
export const MAX_HEAD_BYTES = 16 * 1024;
const VERSION = Buffer.from('HTTP/1.');
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d\d)(?: [^\r\n\0]*)?$/;
/** A status line at any place but the beginning. */
const SECOND_STATUS_LINE = /(?!^)HTTP\/1\.[01] [1-5]\d\d(?: |\r\n|$)/;
const BEGINNING = /^HTTP\/1\.[01] [1-5]\d\d(?: |\r\n)/;
/** Bytes that show whether a response begins. */
const BEGINNING_BYTES = 14;
const FIELD = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n\0]*?)[ \t]*$/;
const LENGTH = /^\d{1,10}$/;
/** Statuses of responses without a body, whatever their fields say. */
const BODILESS = new Set([204, 304]);

/** How the end of a response is found. */
export type Framing = { type: 'length'; bytes: number } | { type: 'chunked' };

/** Head of a response. */
export interface ResponseHead {
  status: number;
  /** Fields by lower-case name; the values of repeated ones are separated by commas. */
  headers: ReadonlyMap<string, string>;
  /** Undefined if the end doesn't follow from one unambiguous field. */
  framing: Framing | undefined;
}

/** Whether bytes may be the beginning of a response. */
export function mayBeginResponse(bytes: Buffer): boolean {
  const length = Math.min(bytes.length, VERSION.length);
  return bytes.subarray(0, length).equals(VERSION.subarray(0, length));
}

/** Whether bytes begin with a status line. */
export function beginsResponse(bytes: Buffer): boolean {
  return BEGINNING.test(bytes.subarray(0, BEGINNING_BYTES).toString('latin1'));
}

/**
 * Whether a head holds a second status line. Then a response broke off in its head, and the next one
 * continues one of its lines: the status is that of the first response, the other fields are of the second.
 */
export function holdsSecondHead(text: string): boolean {
  return SECOND_STATUS_LINE.test(text);
}

/**
 * Parses a head without its empty line; undefined if any line is malformed.
 *
 * @example
 * parseResponseHead('HTTP/1.1 200 OK\r\nContent-Length: 2')?.framing; // { type: 'length', bytes: 2 }
 */
export function parseResponseHead(text: string): ResponseHead | undefined {
  const [first = '', ...lines] = text.split('\r\n');
  const status = STATUS_LINE.exec(first)?.[1];
  if (status === undefined) return undefined;
  const headers = new Map<string, string>();
  for (const line of lines) {
    const [, field, value = ''] = FIELD.exec(line) ?? [];
    if (field === undefined) return undefined;
    const name = field.toLowerCase();
    const before = headers.get(name);
    headers.set(name, before === undefined ? value : `${before}, ${value}`);
  }
  return { status: Number(status), headers, framing: framingOf(Number(status), headers) };
}

function framingOf(status: number, headers: ResponseHead['headers']): Framing | undefined {
  const length = headers.get('content-length');
  const coding = headers.get('transfer-encoding');
  if (BODILESS.has(status)) return undefined;
  if (coding === undefined) {
    const isValid = length !== undefined && LENGTH.test(length);
    return isValid ? { type: 'length', bytes: Number(length) } : undefined;
  }
  const isChunked = length === undefined && coding.toLowerCase() === 'chunked';
  return isChunked ? { type: 'chunked' } : undefined;
}
