/**
 * One attempt of a model call on one engine.
 *
 * Each attempt has its own nonce and its own connection. Output with another nonce is dropped, and
 * the connection of an abandoned attempt is destroyed instead of reused. So no output of an abandoned
 * attempt can reach a caller.
 */

import type { EventSourceMessage } from 'eventsource-parser';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { Agent, request as httpRequest } from 'node:http';
import { parseJsonText } from '@flamingocourse/kernel';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';

const MAX_ERROR_BYTES = 4_096;
const DONE_MARK = '[DONE]';

const chunkSchema = z.object({
  id: z.string(),
  choices: z
    .array(
      z.object({
        delta: z.object({ content: z.string().nullish() }).optional(),
        finish_reason: z.string().nullish(),
      }),
    )
    .default([]),
  usage: z.object({ prompt_tokens: z.number(), completion_tokens: z.number() }).nullish(),
});

type Chunk = z.infer<typeof chunkSchema>;

/** How an attempt on an engine ended. */
export type EngineOutcome =
  | {
      type: 'done';
      finishReason: string;
      usage?: { promptTokens: number; completionTokens: number };
    }
  | { type: 'not-sent'; detail: string }
  | { type: 'rejected'; status: number; detail: string }
  | { type: 'leaving' }
  | { type: 'failed'; detail: string }
  | { type: 'crashed'; detail: string }
  | { type: 'timed-out' }
  | { type: 'cancelled' };

/** Parameters of one attempt. */
export interface EngineAttempt {
  url: string;
  nonce: string;
  /** Complete body of the call as JSON text. */
  body: string;
  /** Maximum number of text chunks to accept; after that the attempt ends with finish reason `length`. */
  maxChunks: number;
  /** Longest time without data before the attempt times out, in milliseconds. */
  stallMs: number;
  signal: AbortSignal;
  onText(text: string): void;
}

const agent = new Agent({ keepAlive: true, maxSockets: 512, scheduling: 'lifo' });

/**
 * Runs one attempt until it ends. Never rejects: every failure is an {@link EngineOutcome}.
 *
 * @example
 * const end = await runEngineAttempt({ url, nonce, body, maxChunks: 64, stallMs: 2_000, signal, onText });
 */
export function runEngineAttempt(attempt: EngineAttempt): Promise<EngineOutcome> {
  return new Promise((resolve) => {
    new AttemptRun(attempt, resolve).start();
  });
}

class AttemptRun {
  readonly #attempt: EngineAttempt;
  readonly #resolve: (end: EngineOutcome) => void;
  #req: ClientRequest | undefined;
  #timer: NodeJS.Timeout | undefined;
  #settled = false;
  #connected = false;
  #chunks = 0;
  #finishReason: string | undefined;
  #usage: { promptTokens: number; completionTokens: number } | undefined;
  #lastEventId = -1;

  constructor(attempt: EngineAttempt, resolve: (end: EngineOutcome) => void) {
    this.#attempt = attempt;
    this.#resolve = resolve;
  }

  start(): void {
    const { signal } = this.#attempt;
    if (signal.aborted) {
      this.#settle({ type: 'cancelled' });
      return;
    }
    signal.addEventListener('abort', this.#onAbort);
    this.#restartStallTimer();
    const req = httpRequest(`${this.#attempt.url}/v1/chat/completions`, {
      method: 'POST',
      agent,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(this.#attempt.body),
        'x-request-id': this.#attempt.nonce,
      },
    });
    this.#req = req;
    req.on('socket', (socket) => {
      if (!socket.connecting) this.#connected = true;
      else socket.once('connect', () => (this.#connected = true));
    });
    req.on('response', (res) => {
      this.#onResponse(res);
    });
    req.on('error', (err) => {
      this.#settle(this.#connectionEnd(err.message));
    });
    req.end(this.#attempt.body);
  }

  #onResponse(res: IncomingMessage): void {
    this.#restartStallTimer();
    if (res.statusCode !== 200) {
      this.#readRejection(res);
      return;
    }
    const parser = createParser({
      onEvent: (event) => {
        this.#onEvent(event);
      },
    });
    res.setEncoding('utf8');
    res.on('data', (text: string) => {
      this.#restartStallTimer();
      if (!this.#settled) parser.feed(text);
    });
    res.on('error', (err) => {
      this.#settle({ type: 'crashed', detail: err.message });
    });
    // A stream that closes without its final event counts as a crash, even after some output.
    res.on('close', () => {
      this.#settle({ type: 'crashed', detail: 'the stream ended without its final event' });
    });
  }

  #readRejection(res: IncomingMessage): void {
    let text = '';
    res.setEncoding('utf8');
    res.on('data', (part: string) => {
      if (text.length < MAX_ERROR_BYTES) text += part;
    });
    res.on('close', () => {
      this.#settle(rejectionEnd(res.statusCode ?? 0, text));
    });
  }

  #onEvent(event: EventSourceMessage): void {
    if (this.#settled) return;
    if (event.data === DONE_MARK) {
      this.#settleDone();
      return;
    }
    const chunk = parseChunk(event.data);
    // The nonce is checked before the event number. A late event of another attempt carries that
    // attempt's number, which would make the next events of this attempt look like repeats.
    if (!chunk || !hasNonce(chunk.id, this.#attempt.nonce)) return;
    if (!this.#isRepeated(event.id)) this.#onChunk(chunk);
  }

  // An engine may send an event twice or late within one stream; the caller would see repeated text.
  // If the engine numbers its events, all events that are not newer than the last one are dropped.
  #isRepeated(eventId: string | undefined): boolean {
    if (eventId === undefined || eventId === '') return false;
    const number = Number(eventId);
    if (!Number.isInteger(number)) return false;
    if (number <= this.#lastEventId) return true;
    this.#lastEventId = number;
    return false;
  }

  #onChunk(chunk: Chunk): void {
    if (chunk.usage) {
      this.#usage = {
        promptTokens: chunk.usage.prompt_tokens,
        completionTokens: chunk.usage.completion_tokens,
      };
    }
    const choice = chunk.choices[0];
    const text = choice?.delta?.content;
    if (text) this.#onText(text);
    if (choice?.finish_reason) this.#finishReason = choice.finish_reason;
  }

  #onText(text: string): void {
    // Stops an engine that ignores the output limit, so that it cannot exceed the reservation.
    if (this.#chunks >= this.#attempt.maxChunks) {
      this.#finishReason = 'length';
      this.#settleDone();
      return;
    }
    this.#chunks += 1;
    this.#attempt.onText(text);
  }

  #settleDone(): void {
    if (this.#finishReason === undefined) {
      this.#settle({ type: 'failed', detail: 'the stream ended without a finish reason' });
      return;
    }
    const usage = this.#usage;
    this.#settle({
      type: 'done',
      finishReason: this.#finishReason,
      ...(usage === undefined ? {} : { usage }),
    });
  }

  #connectionEnd(detail: string): EngineOutcome {
    return this.#connected ? { type: 'crashed', detail } : { type: 'not-sent', detail };
  }

  #restartStallTimer(): void {
    clearTimeout(this.#timer);
    if (this.#settled) return;
    this.#timer = setTimeout(() => {
      this.#settle({ type: 'timed-out' });
    }, this.#attempt.stallMs);
  }

  readonly #onAbort = (): void => {
    this.#settle({ type: 'cancelled' });
  };

  #settle(end: EngineOutcome): void {
    if (this.#settled) return;
    this.#settled = true;
    clearTimeout(this.#timer);
    this.#attempt.signal.removeEventListener('abort', this.#onAbort);
    // Only a stream that reached its final event leaves a connection that can be reused.
    const clean = end.type === 'done' && end.finishReason !== 'length';
    if (!clean && end.type !== 'rejected' && end.type !== 'leaving') this.#req?.destroy();
    this.#resolve(end);
  }
}

/** Engines return the nonce as the chunk's id; some add a prefix. */
function hasNonce(chunkId: string, nonce: string): boolean {
  return chunkId === nonce || chunkId.endsWith(`-${nonce}`);
}

function rejectionEnd(status: number, text: string): EngineOutcome {
  if (status === 503 && text.includes('"leaving"')) return { type: 'leaving' };
  return { type: 'rejected', status, detail: text.slice(0, 500) };
}

function parseChunk(data: string): Chunk | undefined {
  try {
    return chunkSchema.safeParse(parseJsonText(data)).data;
  } catch {
    return undefined;
  }
}
