/** Forwards a server's response to the caller. */

import type { AnswerMemory } from './answerMemory.js';
import type { CallerAnswer } from './callerAnswer.js';
import type { EventOrder } from '@flamingocourse/core';
import type { OpenAnswer } from './httpAttempt.js';
import { EventFrames } from '@flamingocourse/core';
import {
  ByteCollector,
  MIN_COUNTED_BYTES,
  describeError,
  runInBackground,
} from '@flamingocourse/kernel';

/** Maximum size of a response that is read before it is forwarded, in bytes. */
const MAX_WHOLE_BYTES = 8 * 1024 * 1024;
const TOO_LARGE = 'response is too large';

/** Arguments of a relay. */
export interface Relay {
  open: OpenAnswer;
  answer: CallerAnswer;
  /** Headers for the caller. */
  headers: string[];
  signal: AbortSignal;
  /** Counts what is held of this and other responses. */
  answers: AnswerMemory;
  /** Returns whether the server itself ended the connection of a response without a length. */
  isOwnEnd: () => Promise<boolean>;
  /** Called for each chunk of a stream. */
  onChunk: () => void;
  now: () => number;
}

/** How a relay ended. */
export type RelayEnd =
  | { type: 'whole'; firstByteAt: number | undefined }
  | { type: 'broken'; cause: string }
  | { type: 'aborted' };

/** End of a response without a length whose server, or whose path to it, ended with it. */
const ENDED_WITH_PROCESS: RelayEnd = { type: 'broken', cause: 'connection ended with its process' };

/** A response that was read completely. */
export interface WholeAnswer {
  type: 'whole';
  firstByteAt: number | undefined;
  body: ByteCollector;
}

/**
 * Reads the whole response before forwarding it. If the response is cut off, nothing has reached
 * the caller and the request can be retried at another server.
 */
export async function relayWhole(relay: Relay): Promise<RelayEnd> {
  const { open, answer, headers } = relay;
  const end = await readAnswer(relay);
  if (end.type === 'whole') answer.writeWhole(open.head.status, headers, end.body);
  return end;
}

/**
 * Reads a response completely.
 *
 * @example
 * const end = await readAnswer({ open, signal, answers, isOwnEnd, now });
 * if (end.type === 'whole') use(end.body.toBuffer());
 */
export async function readAnswer({
  answers,
  ...read
}: Pick<Relay, 'open' | 'signal' | 'answers' | 'isOwnEnd' | 'now'>): Promise<
  Exclude<RelayEnd, { type: 'whole' }> | WholeAnswer
> {
  const bytes = new ByteCollector();
  const held = answers.open(() => {
    read.open.body.destroy(new Error(TOO_LARGE));
  });
  let counted = 0;
  const end = await readBody(read, (chunk) => {
    counted += Math.max(chunk.length, MIN_COUNTED_BYTES);
    if (counted > MAX_WHOLE_BYTES || !answers.fits(held, counted)) return TOO_LARGE;
    bytes.add(chunk);
    return undefined;
  });
  held.release();
  if (end.type === 'whole') return { ...end, body: bytes };
  bytes.clear();
  return end;
}

/**
 * Forwards a stream event by event. An incomplete event at the end of a broken stream is dropped.
 *
 * @param order of the events that the caller has got, by earlier attempts as well.
 * @param onEvents called for each batch of complete events, with all up to them.
 */
export async function relayStream(
  relay: Relay,
  order: EventOrder,
  onEvents: (events: number, frames: EventFrames) => void,
): Promise<RelayEnd> {
  const { open, answer } = relay;
  const frames = new EventFrames(order);
  answer.beginStream(open.head.status, relay.headers);
  const end = await readBody(relay, (chunk) => {
    relay.onChunk();
    const { bytes, events } = frames.push(chunk);
    if (frames.isTooLong) return TOO_LARGE;
    if (events > 0) {
      onEvents(events, frames);
      if (!answer.write(bytes, events, relay.now())) pauseUntilDrained(relay);
    }
    return frames.isOutOfOrder ? 'stream has an event out of order' : undefined;
  });
  if (end.type !== 'whole') return end;
  if (frames.isOpen) return { type: 'broken', cause: 'stream ended in the middle of an event' };
  answer.end();
  return end;
}

// a caller that does not read must not cause the whole response to be buffered in this process.
function pauseUntilDrained({ open, answer }: Relay): void {
  open.body.pause();
  answer.onDrain(() => {
    open.body.resume();
  });
}

/** @param take adds a chunk; returns why the response can't be accepted, if so. */
function readBody(
  { open, signal, isOwnEnd, now }: Pick<Relay, 'open' | 'signal' | 'isOwnEnd' | 'now'>,
  take: (chunk: Buffer) => string | undefined,
): Promise<RelayEnd> {
  return new Promise((resolve) => {
    let firstByteAt: number | undefined;
    let isOver = false;
    const finish = (end: RelayEnd): void => {
      isOver = true;
      signal.removeEventListener('abort', abort);
      resolve(end);
      if (end.type !== 'whole') open.drop();
    };
    const abort = (): void => {
      finish({ type: 'aborted' });
    };
    signal.addEventListener('abort', abort, { once: true });
    open.body.on('data', (chunk: Buffer) => {
      // further chunks of the same read follow in this iteration of the event loop.
      if (isOver) return;
      firstByteAt ??= now();
      const cause = take(chunk);
      if (cause !== undefined) finish({ type: 'broken', cause });
    });
    let hasEnded = false;
    open.body.on('end', () => {
      // `end` is also emitted if the connection closed before the declared length.
      if (!open.body.complete || open.isBroken()) {
        finish({ type: 'broken', cause: 'response is incomplete' });
        return;
      }
      hasEnded = true;
      const whole = { type: 'whole', firstByteAt } as const;
      if (!open.endedWithConnection()) finish(whole);
      else
        runInBackground(
          async () => {
            finish((await isOwnEnd()) ? whole : ENDED_WITH_PROCESS);
          },
          (err) => {
            finish({ type: 'broken', cause: describeError(err) });
          },
        );
    });
    open.body.on('error', (err) => {
      finish({ type: 'broken', cause: err.message });
    });
    open.body.on('close', () => {
      if (!hasEnded) finish({ type: 'broken', cause: 'connection closed' });
    });
    if (signal.aborted) abort();
  });
}
