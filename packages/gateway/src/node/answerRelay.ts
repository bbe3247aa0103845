/** Passes a server's answer on to the caller. */

import type { CallerAnswer } from './callerAnswer.js';
import type { OpenAnswer } from './httpAttempt.js';
import { EventFrames } from '@flamingocourse/core';

/** Largest answer that is read whole before it is passed on, in bytes. */
const MAX_WHOLE_BYTES = 8 * 1024 * 1024;

/** An answer to pass on. */
export interface Relay {
  open: OpenAnswer;
  answer: CallerAnswer;
  /** Headers for the caller. */
  headers: string[];
  signal: AbortSignal;
  /** Told of each piece that comes. */
  heard: () => void;
  now: () => number;
}

/** How it went. */
export type RelayEnd =
  | { type: 'whole'; firstByteAt: number | undefined }
  | { type: 'broken'; cause: string }
  | { type: 'aborted' };

/** An answer that was read to its end. */
export interface WholeAnswer {
  type: 'whole';
  firstByteAt: number | undefined;
  body: Buffer;
}

/**
 * Reads a whole answer, then passes it on. So an answer that breaks off never reaches the caller, and
 * the request can go to another server.
 */
export async function relayWhole(relay: Relay): Promise<RelayEnd> {
  const { open, answer, headers, signal, now } = relay;
  const end = await readAnswer(open, signal, now);
  if (end.type === 'whole') answer.whole(open.head.status, headers, end.body);
  return end;
}

/**
 * Reads an answer to its end.
 *
 * @example
 * const end = await readAnswer(open, signal);
 * if (end.type === 'whole') use(end.body);
 */
export async function readAnswer(
  open: OpenAnswer,
  signal: AbortSignal,
  now: () => number = () => performance.now(),
): Promise<Exclude<RelayEnd, { type: 'whole' }> | WholeAnswer> {
  const chunks: Buffer[] = [];
  let size = 0;
  const end = await readBody({ open, signal, now }, (chunk) => {
    size += chunk.length;
    if (size > MAX_WHOLE_BYTES) return false;
    chunks.push(chunk);
    return true;
  });
  return end.type === 'whole' ? { ...end, body: Buffer.concat(chunks) } : end;
}

/**
 * Passes a stream on, event by event. Half an event of a server that broke off is dropped.
 *
 * @param onEvents told of each batch of whole events, with the id of the last one.
 */
export async function relayStream(
  relay: Relay,
  onEvents: (events: number, lastId: string | undefined) => void,
): Promise<RelayEnd> {
  const { open, answer } = relay;
  const frames = new EventFrames();
  answer.begin(open.head.status, relay.headers);
  const end = await readBody(relay, (chunk) => {
    relay.heard();
    const { bytes, events } = frames.push(chunk);
    if (events === 0) return true;
    onEvents(events, frames.lastId);
    if (!answer.write(bytes, events, relay.now())) pauseUntilDrained(relay);
    return true;
  });
  if (end.type !== 'whole') return end;
  if (frames.isOpen) return { type: 'broken', cause: 'ended in the middle of an event' };
  answer.end();
  return end;
}

// a caller that does not read must not make this process keep the whole answer in memory.
function pauseUntilDrained({ open, answer }: Relay): void {
  open.body.pause();
  answer.onDrain(() => {
    open.body.resume();
  });
}

function readBody(
  { open, signal, now }: Pick<Relay, 'open' | 'signal' | 'now'>,
  take: (chunk: Buffer) => boolean,
): Promise<RelayEnd> {
  return new Promise((resolve) => {
    let firstByteAt: number | undefined;
    const finish = (end: RelayEnd): void => {
      signal.removeEventListener('abort', abort);
      resolve(end);
      if (end.type !== 'whole') open.drop();
    };
    const abort = (): void => {
      finish({ type: 'aborted' });
    };
    signal.addEventListener('abort', abort, { once: true });
    open.body.on('data', (chunk: Buffer) => {
      firstByteAt ??= now();
      if (!take(chunk)) finish({ type: 'broken', cause: 'too large' });
    });
    open.body.on('end', () => {
      // `end` also comes for an answer whose connection closed before its declared length.
      if (open.body.complete && !open.isBroken()) finish({ type: 'whole', firstByteAt });
      else finish({ type: 'broken', cause: 'cut short' });
    });
    open.body.on('error', (err) => {
      finish({ type: 'broken', cause: err.message });
    });
    open.body.on('close', () => {
      finish({ type: 'broken', cause: 'connection closed' });
    });
    if (signal.aborted) abort();
  });
}
