/** Decodes the chunked framing of a request's body (RFC 9112, section 7.1). */

import { BlankLine } from './blankLine.js';

const CR = 0x0d;
const LF = 0x0a;
const SEMICOLON = 0x3b;
/** Maximum number of hexadecimal digits of a chunk's size. */
const MAX_SIZE_DIGITS = 12;
/** Data up to this size, in bytes, is copied byte by byte, which costs less than a call. */
const COPIED_BY_BYTE = 32;
/** Data from this size on, in bytes, is not copied. */
const MIN_PART_BYTES = 4 * 1024;

type State = 'size' | 'extension' | 'size-end' | 'data' | 'data-cr' | 'data-lf' | 'trailers';

/** What was decoded of some bytes. */
export interface DecodedChunks {
  /** Bytes of the body, with small chunks put together. */
  parts: Buffer[];
  /** Bytes that were decoded; after the end of the body, the rest belongs to the next request. */
  used: number;
  state: 'open' | 'ended' | 'invalid';
}

/**
 * Decodes a body chunk by chunk. Extensions and trailers are dropped, which a recipient may do; they and
 * the framing of very small chunks would take many times the memory and processor time of their bytes.
 *
 * @example
 * const { parts, state } = new ChunkDecoder(65_536).decode(Buffer.from('2\r\nok\r\n0\r\n\r\n'));
 */
export class ChunkDecoder {
  readonly #maxExtraBytes: number;
  #state: State = 'size';
  /** Digits of the size that is being read, and its value so far. */
  #digits = 0;
  #left = 0;
  /** Bytes of extensions and trailers. */
  #extraBytes = 0;
  readonly #trailersEnd = new BlankLine();

  /** @param maxExtraBytes maximum size of all extensions and trailers together. */
  constructor(maxExtraBytes: number) {
    this.#maxExtraBytes = maxExtraBytes;
  }

  decode(bytes: Buffer): DecodedChunks {
    const parts = new PartCollector(bytes);
    let at = 0;
    while (at < bytes.length) {
      if (this.#state === 'trailers') return this.#endTrailers(bytes, at, parts.end());
      if (this.#state === 'data') {
        const count = Math.min(this.#left, bytes.length - at);
        parts.add(at, count);
        at += count;
        this.#left -= count;
        if (this.#left === 0) this.#state = 'data-cr';
      } else if (this.#takesFraming(bytes[at] ?? 0)) at += 1;
      else return { parts: parts.end(), used: at, state: 'invalid' };
    }
    return { parts: parts.end(), used: at, state: 'open' };
  }

  /** Takes one byte between the data of two chunks; returns whether it may stand there. */
  #takesFraming(byte: number): boolean {
    switch (this.#state) {
      case 'size':
        return this.#takesSize(byte);
      case 'extension':
        this.#extraBytes += 1;
        if (byte === CR) this.#state = 'size-end';
        return byte !== LF && this.#extraBytes <= this.#maxExtraBytes;
      case 'size-end':
        this.#state = this.#left === 0 ? 'trailers' : 'data';
        this.#digits = 0;
        return byte === LF;
      case 'data-cr':
        this.#state = 'data-lf';
        return byte === CR;
      case 'data-lf':
        this.#state = 'size';
        return byte === LF;
      case 'data':
      case 'trailers':
        return false;
    }
  }

  #takesSize(byte: number): boolean {
    const digit = hexDigit(byte);
    if (digit >= 0) {
      this.#left = this.#left * 16 + digit;
      this.#digits += 1;
      return this.#digits <= MAX_SIZE_DIGITS;
    }
    this.#state = byte === CR ? 'size-end' : 'extension';
    return this.#digits > 0 && (byte === CR || byte === SEMICOLON);
  }

  #endTrailers(bytes: Buffer, from: number, parts: Buffer[]): DecodedChunks {
    const rest = bytes.subarray(from);
    const end = this.#trailersEnd.find(rest);
    const used = end === -1 ? rest.length : end;
    this.#extraBytes += used;
    if (this.#extraBytes > this.#maxExtraBytes) return { parts, used: from, state: 'invalid' };
    return { parts, used: from + used, state: end === -1 ? 'open' : 'ended' };
  }
}

/** Collects parts of some bytes; copies small ones into one. */
class PartCollector {
  readonly #bytes: Buffer;
  readonly #parts: Buffer[] = [];
  #copies: Buffer | undefined;
  #copied = 0;

  constructor(bytes: Buffer) {
    this.#bytes = bytes;
  }

  add(from: number, count: number): void {
    if (count >= MIN_PART_BYTES) {
      this.#endCopies();
      this.#parts.push(this.#bytes.subarray(from, from + count));
    } else this.#copy(from, count);
  }

  end(): Buffer[] {
    this.#endCopies();
    return this.#parts;
  }

  #copy(from: number, count: number): void {
    const bytes = this.#bytes;
    this.#copies ??= Buffer.allocUnsafe(bytes.length - from);
    const copies = this.#copies;
    if (count > COPIED_BY_BYTE) bytes.copy(copies, this.#copied, from, from + count);
    else for (let i = 0; i < count; i += 1) copies[this.#copied + i] = bytes[from + i] ?? 0;
    this.#copied += count;
  }

  #endCopies(): void {
    if (this.#copies) this.#parts.push(this.#copies.subarray(0, this.#copied));
    this.#copies = undefined;
    this.#copied = 0;
  }
}

/** Value of a hexadecimal digit; -1 for any other byte. */
function hexDigit(byte: number): number {
  if (byte >= 0x30 && byte <= 0x39) return byte - 0x30;
  const lower = byte | 0x20;
  return lower >= 0x61 && lower <= 0x66 ? lower - 0x57 : -1;
}
