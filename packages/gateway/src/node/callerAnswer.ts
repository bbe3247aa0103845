/** The answer to one caller: written once, cut off honestly, and aware of a caller that left. */

import type { ServerResponse } from 'node:http';
import type { WrittenRefusal } from '../types/dialects.js';
import { EventTiming } from '@flamingocourse/core';

/** State of one answer. */
export class CallerAnswer {
  readonly #res: ServerResponse;
  readonly #closing: () => boolean;
  #gone = false;
  #events = 0;
  readonly #timing = new EventTiming();

  /** @param closing whether callers should go elsewhere, so that connections are not kept. */
  constructor(res: ServerResponse, closing: () => boolean) {
    this.#res = res;
    this.#closing = closing;
    res.on('close', () => {
      if (!res.writableFinished) this.#gone = true;
    });
    res.on('error', () => {
      this.#gone = true;
    });
  }

  /** Whether the caller left, or its connection broke, before the answer was whole. */
  get gone(): boolean {
    return this.#gone || this.#isCutOff;
  }

  /** Whether the connection is closed, though nobody was told yet. */
  get #isCutOff(): boolean {
    return (this.#res.socket?.destroyed ?? false) && !this.#res.writableFinished;
  }

  /** Whether a byte of an answer was written. */
  get started(): boolean {
    return this.#res.headersSent;
  }

  /** Events of a stream passed on. */
  get events(): number {
    return this.#events;
  }

  get firstEventAt(): number | undefined {
    return this.#timing.firstAt;
  }

  /** Longest time between two batches of events of a stream, in milliseconds. */
  get longestPauseMs(): number {
    return this.#timing.longestPauseMs;
  }

  /** Calls back when the connection is over before the answer was whole. */
  onGone(listener: () => void): void {
    this.#res.on('close', () => {
      if (this.#gone) listener();
    });
  }

  /** Writes the head of a stream; a resumed stream keeps the first one. */
  begin(status: number, headers: string[]): void {
    if (this.started || this.#gone) return;
    this.#writeHead(status, headers);
    this.#res.flushHeaders();
  }

  /** Passes whole events on; resolves once the caller can take more. */
  write(bytes: Buffer, events: number, now: number): boolean {
    if (this.#gone) return true;
    this.#events += events;
    if (events > 0) this.#timing.observe(events, now);
    return this.#res.write(bytes);
  }

  onDrain(listener: () => void): void {
    this.#res.once('drain', listener);
  }

  /** Ends a stream as complete. */
  end(): void {
    if (!this.#gone) this.#res.end();
  }

  /** Writes a whole answer. */
  whole(status: number, headers: string[], body: Buffer): void {
    if (this.#gone) return;
    this.#writeHead(status, [...headers, 'content-length', String(body.length)]);
    this.#res.end(body);
  }

  /** Writes a refusal; returns its status. */
  refuse({ status, headers, body }: WrittenRefusal): number {
    if (this.#gone) return status;
    if (this.#closing()) this.#res.setHeader('connection', 'close');
    this.#res.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
    this.#res.end(body);
    return status;
  }

  /** Ends a started answer so that it can't be taken for complete. */
  cut(): void {
    this.#res.destroy();
  }

  #writeHead(status: number, headers: string[]): void {
    const all = this.#closing() ? [...headers, 'connection', 'close'] : headers;
    this.#res.writeHead(status, all);
  }
}
