/** The response to one caller. */

import type { ByteCollector } from '@flamingocourse/kernel';
import type { ServerResponse } from 'node:http';
import type { EncodedRefusal } from '../types/dialects.js';
import type { AnswerMemory } from './answerMemory.js';
import { EventTiming } from '@flamingocourse/core';

/** Bytes for which a stream counts whose caller does not read: what is written, and what waits for it. */
const UNREAD_STREAM_BYTES = 128 * 1024;

/**
 * Writes the response to one caller at most once. An incomplete response is always visible as such,
 * and nothing is written after the caller has disconnected.
 */
export class CallerAnswer {
  readonly #res: ServerResponse;
  readonly #closesConnection: () => boolean;
  readonly #memory: AnswerMemory;
  #callerGone = false;
  #events = 0;
  readonly #timing = new EventTiming();

  /** @param closesConnection whether the connection is to be closed after the response. */
  constructor(res: ServerResponse, closesConnection: () => boolean, memory: AnswerMemory) {
    this.#res = res;
    this.#closesConnection = closesConnection;
    this.#memory = memory;
    res.on('close', () => {
      if (!res.writableFinished) this.#callerGone = true;
    });
    res.on('error', () => {
      this.#callerGone = true;
    });
  }

  /** Whether the caller's connection closed before the response was complete. */
  get callerGone(): boolean {
    return this.#callerGone || this.#isDisconnected;
  }

  /** Whether the connection is closed but its `close` event has not been emitted yet. */
  get #isDisconnected(): boolean {
    return (this.#res.socket?.destroyed ?? false) && !this.#res.writableFinished;
  }

  /** Whether the head of the response was written. */
  get started(): boolean {
    return this.#res.headersSent;
  }

  /** Number of stream events forwarded. */
  get events(): number {
    return this.#events;
  }

  /** When the first event was forwarded; undefined before. */
  get firstEventAt(): number | undefined {
    return this.#timing.firstAt;
  }

  /** Longest time between two batches of events of a stream, in milliseconds. */
  get longestPauseMs(): number {
    return this.#timing.longestPauseMs;
  }

  /** Calls `listener` if the connection closes before the response is complete. */
  onCallerGone(listener: () => void): void {
    this.#res.on('close', () => {
      if (this.#callerGone) listener();
    });
  }

  /**
   * Writes the head of a stream. A resumed stream keeps the head that was written first. It does not
   * announce that the connection is closed: what the caller sends meanwhile would stay unanswered.
   */
  beginStream(status: number, headers: string[]): void {
    if (this.started || this.#callerGone) return;
    this.#res.writeHead(status, headers);
    this.#res.flushHeaders();
  }

  /** Forwards complete events. Returns false if the write buffer is full; see {@link onDrain}. */
  write(bytes: Buffer, events: number, now: number): boolean {
    if (this.#callerGone) return true;
    this.#events += events;
    if (events > 0) this.#timing.observe(events, now);
    const isRead = this.#res.write(bytes);
    if (!isRead) this.#memory.hold(this.#res, UNREAD_STREAM_BYTES);
    return isRead;
  }

  /** Calls `listener` once the write buffer is empty and more data can be written. */
  onDrain(listener: () => void): void {
    this.#res.once('drain', () => {
      this.#memory.release(this.#res);
      listener();
    });
  }

  /** Ends a stream as complete. */
  end(): void {
    if (!this.#callerGone) this.#res.end();
  }

  /** Writes a complete response, and clears its body once that is read. */
  writeWhole(status: number, headers: string[], body: ByteCollector): void {
    if (this.#callerGone) {
      body.clear();
      return;
    }
    const all = [...headers, 'content-length', String(body.size)];
    if (this.#closesConnection()) all.push('connection', 'close');
    const res = this.#res;
    // emitted when the response was written, or else after its socket was closed.
    res.once('close', () => {
      body.clear();
    });
    res.writeHead(status, all);
    const { parts } = body;
    // one write of all parts; a body of one part is written with its head.
    if (parts.length > 1) res.cork();
    for (const part of parts.slice(0, -1)) res.write(part);
    res.end(parts.at(-1));
    this.#memory.hold(res, body.size);
  }

  /** Writes a refusal and returns its status. */
  refuse({ status, headers, body }: EncodedRefusal): number {
    if (this.#callerGone) return status;
    if (this.#closesConnection()) this.#res.setHeader('connection', 'close');
    this.#res.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
    this.#res.end(body);
    return status;
  }

  /** Closes the connection, so that a started response cannot appear complete. */
  abort(): void {
    this.#res.destroy();
  }
}
