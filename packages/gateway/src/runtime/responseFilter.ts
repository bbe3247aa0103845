/** Removes late duplicates of responses to earlier requests from what a connection receives. */

import type { ResponseHead } from '../utils/responseHead.js';
import { ReadFilter } from '@flamingocourse/kernel';
import {
  MAX_HEAD_BYTES,
  beginsResponse,
  holdsSecondHead,
  mayBeginResponse,
  parseResponseHead,
} from '../utils/responseHead.js';

/** Maximum bytes that are skipped before one response; far above the size of usual responses. */
const MAX_SKIPPED_BYTES = 16 * 1024 * 1024;
/** Maximum length of a line with the size of a chunk, or of a trailer. */
const MAX_LINE_BYTES = 4_096;
const CHUNK_SIZE = /^([0-9a-f]{1,8})(?:[ \t]*;[^\r\n]*)?$/i;
const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;
const CRLF = '\r\n';
const HEAD_END = '\r\n\r\n';
const NOTHING = Buffer.alloc(0);

/** What the next bytes belong to; only those of `passing` and some of `head` are let through. */
type Phase = 'passing' | 'head' | 'body' | 'chunk-size' | 'chunk-data' | 'chunk-end' | 'trailer';

/** What a filter is told about the response that a request waits for. */
export interface ExpectedResponse {
  /** Whether a response belongs to another request. */
  isForeign: (head: ResponseHead) => boolean;
  /** Called after the head of each response that is skipped. */
  onSkip: () => void;
}

/**
 * Skips complete responses to other requests in front of the expected one. Only responses whose end is
 * certain are skipped: one length, or chunks. All else is let through, and whoever reads it judges it.
 * Once the expected response has begun, all bytes are let through.
 *
 * The connection has to be closed where bytes after a skipped response are no response, because a skipped
 * one was truncated and part of the expected one may be lost, and where a response broke off in its head or
 * body, because the next one would be read as the rest of it.
 *
 * @example
 * socket.readFilter = filter;
 * filter.expect({ isForeign: ({ headers }) => headers.get('x-request-id') !== id, onSkip });
 */
export class ResponseFilter extends ReadFilter {
  #phase: Phase = 'passing';
  #expected: ExpectedResponse | undefined;
  #maySkip = true;
  #held: Buffer = NOTHING;
  /** Bytes left of a skipped body or chunk. */
  #left = 0;
  #skippedBytes = 0;
  /** Bytes left of the body that is let through; 0 if its length is not known. */
  #ownLeft = 0;

  /** Expects a response from now on. */
  expect(expected: ExpectedResponse): void {
    this.#phase = 'head';
    this.#expected = expected;
    this.#held = NOTHING;
    this.#skippedBytes = 0;
    this.#ownLeft = 0;
  }

  /** Skips no responses from now on, where the end of a response doesn't follow from its head. */
  skipNone(): void {
    this.#maySkip = false;
  }

  override filter(chunk: Buffer): Buffer | Error {
    if (this.#phase === 'passing') return this.#passOwn(chunk);
    this.#held = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk]);
    const passed: Buffer[] = [];
    for (;;) {
      const before = this.#held.length;
      const phase: Phase = this.#phase;
      const step = this.#step(passed);
      if (step instanceof Error) return step;
      if (this.#skippedBytes > MAX_SKIPPED_BYTES) return new Error('too many bytes were skipped');
      if (this.#held.length === before && this.#phase === phase) break;
    }
    return passed.length === 1 ? (passed[0] ?? NOTHING) : Buffer.concat(passed);
  }

  /** Lets a part of the own body through, unless the next response begins in its place. */
  #passOwn(chunk: Buffer): Buffer | Error {
    if (this.#ownLeft > 0 && beginsResponse(chunk))
      return new Error('a body broke off before a response');
    this.#ownLeft = Math.max(0, this.#ownLeft - chunk.length);
    return chunk;
  }

  /** Handles what it can of the held bytes; nothing if more are needed. */
  #step(passed: Buffer[]): Error | undefined {
    switch (this.#phase) {
      case 'passing':
        this.#ownLeft = Math.max(0, this.#ownLeft - this.#held.length);
        passed.push(this.#take(this.#held.length));
        return undefined;
      case 'head':
        return this.#stepHead(passed);
      case 'body':
        if (this.#skipRest()) this.#phase = 'head';
        return undefined;
      case 'chunk-data':
        if (this.#skipRest()) this.#phase = 'chunk-end';
        return undefined;
      case 'chunk-size':
        return this.#stepLine((line) => this.#beginChunk(line));
      case 'chunk-end':
        return this.#stepLine((line) => this.#endChunk(line));
      case 'trailer':
        return this.#stepLine((line) => {
          if (line === '') this.#phase = 'head';
          return undefined;
        });
    }
  }

  #stepHead(passed: Buffer[]): Error | undefined {
    if (!mayBeginResponse(this.#held)) return this.#endOfResponses();
    const end = this.#held.indexOf(HEAD_END);
    if (end < 0) return this.#held.length > MAX_HEAD_BYTES ? this.#endOfResponses() : undefined;
    const bytes = end + HEAD_END.length;
    const text = this.#held.subarray(0, end).toString('latin1');
    if (holdsSecondHead(text)) return new Error('a response broke off before the next one');
    const head = parseResponseHead(text);
    if (head && head.status < FIRST_FINAL_STATUS && head.status !== SWITCHING_PROTOCOLS) {
      passed.push(this.#take(bytes));
    } else if (head?.framing && this.#maySkip && this.#expected?.isForeign(head)) {
      this.#skip(bytes);
      this.#left = head.framing.type === 'length' ? head.framing.bytes : 0;
      this.#phase = head.framing.type === 'length' ? 'body' : 'chunk-size';
      this.#expected.onSkip();
    } else {
      this.#phase = 'passing';
      const framing = this.#maySkip ? head?.framing : undefined;
      this.#ownLeft = framing?.type === 'length' ? bytes + framing.bytes : 0;
    }
    return undefined;
  }

  /** The held bytes begin no response. */
  #endOfResponses(): Error | undefined {
    if (this.#skippedBytes > 0) return new Error('a response to another request was malformed');
    this.#phase = 'passing';
    return undefined;
  }

  #beginChunk(line: string): Error | undefined {
    const size = CHUNK_SIZE.exec(line)?.[1];
    if (size === undefined)
      return new Error('a chunk of a response to another request has no size');
    this.#left = Number.parseInt(size, 16);
    this.#phase = this.#left === 0 ? 'trailer' : 'chunk-data';
    return undefined;
  }

  #endChunk(line: string): Error | undefined {
    if (line !== '') return new Error('a chunk of a response to another request has no end');
    this.#phase = 'chunk-size';
    return undefined;
  }

  /** Skips a line and calls `use` with it, once it is complete. */
  #stepLine(use: (line: string) => Error | undefined): Error | undefined {
    const end = this.#held.indexOf(CRLF);
    const length = end < 0 ? this.#held.length : end;
    if (length > MAX_LINE_BYTES)
      return new Error('a line of a response to another request is too long');
    if (end < 0) return undefined;
    const line = this.#held.subarray(0, end).toString('latin1');
    this.#skip(end + CRLF.length);
    return use(line);
  }

  /** Skips what is left of a body or chunk; returns whether that was all. */
  #skipRest(): boolean {
    const bytes = Math.min(this.#left, this.#held.length);
    this.#left -= bytes;
    this.#skip(bytes);
    return this.#left === 0;
  }

  #skip(bytes: number): void {
    this.#skippedBytes += bytes;
    this.#take(bytes);
  }

  #take(bytes: number): Buffer {
    const taken = this.#held.subarray(0, bytes);
    // an empty part of a chunk would keep all of it in memory.
    this.#held = bytes === this.#held.length ? NOTHING : this.#held.subarray(bytes);
    return taken;
  }
}
