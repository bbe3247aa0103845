/** Passes the bytes of a client's connection on to an HTTP parser, one request at a time. */

import { BlankLine } from './blankLine.js';
import { ByteCollector } from './byteCollector.js';
import { ChunkDecoder } from './chunkDecoder.js';

const CR = 0x0d;
const LF = 0x0a;
const NOTHING = Buffer.alloc(0);
const CHUNKED_END = Buffer.from('0\r\n\r\n');
const CONNECT = Buffer.from('CONNECT ');
const CRLF = Buffer.from('\r\n');
/** Anything but the size of a chunk, so that the parser reports its fault. */
const INVALID_CHUNK = Buffer.from('?\r\n');

/** How the body of a request ends. */
export type BodyFraming = { type: 'length'; bytes: number } | { type: 'chunked' };

/** What the feed passes on to. */
export abstract class FeedTarget {
  /** Whether bytes can be parsed now. */
  abstract get isOpen(): boolean;
  /** Parses bytes, never more than what belongs to one request. */
  abstract parse(bytes: Buffer): void;
  /** Framing of the request whose head was just parsed; undefined if it was no valid head. */
  abstract takeFraming(): BodyFraming | undefined;
  /** The head that is being read is larger than allowed. */
  abstract refuseHead(): void;
}

/** What a connection waits for. */
export type FeedPhase = 'idle' | 'head' | 'body' | 'answer';

/**
 * Holds back what a client sends ahead, until the request before it is answered. A parser that gets a
 * whole read would make a request of every few bytes of it, and strings of every few bytes of a head, so
 * heads are passed on when they are whole, and bodies in chunks as large as they arrive.
 *
 * @example
 * const feed = new RequestFeed(target, 65_536);
 * socket.on('data', (chunk) => feed.push(chunk));
 * res.on('close', () => feed.answered());
 */
export class RequestFeed {
  readonly #target: FeedTarget;
  readonly #maxHeadBytes: number;
  /** Bytes that were not passed on or decoded yet, but for the part of a head. */
  #rest: Buffer = NOTHING;
  readonly #head = new ByteCollector();
  #headEnd = new BlankLine();
  #step: 'head' | 'length' | 'chunked' | 'answer' = 'head';
  /** Bytes of the body that are still to come. */
  #left = 0;
  #chunks: ChunkDecoder | undefined;
  #isAnswered = false;
  #isOver = false;

  constructor(target: FeedTarget, maxHeadBytes: number) {
    this.#target = target;
    this.#maxHeadBytes = maxHeadBytes;
  }

  get phase(): FeedPhase {
    if (this.#step === 'answer') return 'answer';
    if (this.#step !== 'head') return 'body';
    return this.#head.size > 0 ? 'head' : 'idle';
  }

  /** Bytes that are held back. */
  get heldBytes(): number {
    return this.#head.size + this.#rest.length;
  }

  /** Whether something was sent ahead of the answer to the request before it. */
  get hasAhead(): boolean {
    return this.#rest.length > 0;
  }

  /** Takes bytes of the connection. */
  push(chunk: Buffer): void {
    if (this.#isOver) return;
    this.#rest = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    this.run();
  }

  /** The current request was answered; the next one may begin once its body was read. */
  answered(): void {
    this.#isAnswered = true;
    if (this.#step !== 'answer') return;
    this.#beginHead();
    this.run();
  }

  /** Drops what is held back and all that comes. */
  end(): void {
    this.#isOver = true;
    this.#rest = NOTHING;
    this.#head.clear();
  }

  /** Passes on what may be passed on now. */
  run(): void {
    while (this.#rest.length > 0 && this.#step !== 'answer' && this.#target.isOpen) {
      if (this.#step === 'head') this.#readHead();
      else if (this.#step === 'length') this.#passLength();
      else this.#passChunks();
    }
    this.#compact();
  }

  /** A short rest must not keep the memory of a long read. */
  #compact(): void {
    if (this.#rest.length === 0) this.#rest = NOTHING;
    if (this.#rest.length * 2 >= this.#rest.buffer.byteLength) return;
    const rest = Buffer.allocUnsafeSlow(this.#rest.length);
    this.#rest.copy(rest);
    this.#rest = rest;
  }

  #take(count: number): Buffer {
    const taken = this.#rest.subarray(0, count);
    this.#rest = this.#rest.subarray(count);
    return taken;
  }

  #beginHead(): void {
    this.#step = 'head';
    this.#headEnd = new BlankLine();
    this.#isAnswered = false;
  }

  #readHead(): void {
    if (this.#head.size === 0) {
      this.#skipEmptyLines();
      if (this.#rest.length > 0 && !isCapital(this.#rest[0])) {
        // no request begins so; the parser tells the client at once.
        this.#target.parse(this.#rest);
        this.end();
        return;
      }
    }
    const end = this.#headEnd.find(this.#rest);
    const part = this.#take(end === -1 ? this.#rest.length : end);
    if (this.#head.size + part.length > this.#maxHeadBytes) {
      this.end();
      this.#target.refuseHead();
    } else if (end === -1) this.#head.add(part);
    else this.#passHead(part);
  }

  /** Servers ignore empty lines in front of a request (RFC 9112, section 2.2). */
  #skipEmptyLines(): void {
    let count = 0;
    while (this.#rest[count] === CR || this.#rest[count] === LF) count += 1;
    this.#take(count);
  }

  #passHead(part: Buffer): void {
    let whole = this.#head.size === 0 ? part : Buffer.concat([this.#head.toBuffer(), part]);
    this.#head.clear();
    // all that follows belongs to the tunnel.
    if (whole.subarray(0, CONNECT.length).equals(CONNECT)) {
      whole = Buffer.concat([whole, this.#take(this.#rest.length)]);
    }
    this.#target.parse(whole);
    const framing = this.#target.takeFraming();
    if (framing === undefined) this.end();
    else if (framing.type === 'chunked') {
      this.#step = 'chunked';
      this.#chunks = new ChunkDecoder(this.#maxHeadBytes);
    } else {
      this.#step = 'length';
      this.#left = framing.bytes;
      if (this.#left === 0) this.#endBody();
    }
  }

  #passLength(): void {
    const part = this.#take(Math.min(this.#left, this.#rest.length));
    this.#left -= part.length;
    this.#target.parse(part);
    if (this.#left === 0) this.#endBody();
  }

  #passChunks(): void {
    const decoded = this.#chunks?.decode(this.#rest);
    if (!decoded) return;
    const { parts, used, state } = decoded;
    this.#take(used);
    for (const part of parts) this.#passChunk(part);
    if (state === 'ended') {
      this.#target.parse(CHUNKED_END);
      this.#endBody();
    } else if (state === 'invalid') {
      this.#target.parse(INVALID_CHUNK);
      this.end();
    }
  }

  #passChunk(data: Buffer): void {
    this.#target.parse(Buffer.from(`${data.length.toString(16)}\r\n`));
    this.#target.parse(data);
    this.#target.parse(CRLF);
  }

  #endBody(): void {
    this.#chunks = undefined;
    if (this.#isAnswered) this.#beginHead();
    else this.#step = 'answer';
  }
}

function isCapital(byte = 0): boolean {
  return byte >= 0x41 && byte <= 0x5a;
}
