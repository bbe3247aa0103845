/**
 * Splits the bytes of an event stream at event boundaries. Bytes are forwarded unchanged. An
 * incomplete event is never forwarded, so a stream that is resumed at another server has neither
 * gaps nor duplicated parts of events.
 */

import type { EventOrder } from './eventOrder.js';
import { isHeaderText } from '../../utils/headerText.js';

/** Complete events from one or more chunks. */
export interface EventBytes {
  bytes: Buffer;
  events: number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NOTHING = Buffer.alloc(0);
/** Maximum size of one event, in bytes. */
const MAX_EVENT_BYTES = 256 * 1024;
/** Bytes for which each chunk counts in addition, because even an empty one takes processor time. */
const CHUNK_COST_BYTES = 64;
/** Smallest buffer of an incomplete event, in bytes. */
const MIN_BUFFER_BYTES = 1024;
/** Bytes before the end of an event, of which the next chunk may contain the last: LF, CR. */
const MAX_BOUNDARY_PART_BYTES = 2;

/**
 * Splits one stream into complete events. Each byte is copied and examined a bounded number of times,
 * however small the chunks are.
 *
 * @example
 * const whole = frames.push(chunk);
 * if (whole.events > 0) res.write(whole.bytes);
 */
export class EventFrames {
  /** Its beginning holds the incomplete event. */
  #buffer: Buffer = NOTHING;
  #length = 0;
  /** Chunks since the last complete event. */
  #chunks = 0;
  #lastId: string | undefined;
  #total = 0;
  #isOutOfOrder = false;
  readonly #order: EventOrder | undefined;

  /** @param order checks the events; the first one that is out of order and all after it are held back. */
  constructor(order?: EventOrder) {
    this.#order = order;
  }

  /** Id of the last complete event that had one, as a header carries its bytes. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Whether another server can be told where to go on; false if no header carries the last id. */
  get isResumable(): boolean {
    return this.#lastId === undefined || isHeaderText(this.#lastId);
  }

  /** Number of complete events so far. */
  get total(): number {
    return this.#total;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get isOpen(): boolean {
    return this.#length > 0;
  }

  /** Whether the incomplete event is longer, or in more chunks, than any event; no more may be added. */
  get isTooLong(): boolean {
    return this.#length + CHUNK_COST_BYTES * this.#chunks > MAX_EVENT_BYTES;
  }

  /** Whether an event was out of order; no more may be added. */
  get isOutOfOrder(): boolean {
    return this.#isOutOfOrder;
  }

  /** Adds a chunk; returns the events that are complete now. */
  push(chunk: Buffer): EventBytes {
    this.#chunks += 1;
    const examined = Math.max(0, this.#length - MAX_BOUNDARY_PART_BYTES);
    const data = this.#length === 0 ? chunk : this.#append(chunk);
    let end = 0;
    let events = 0;
    for (;;) {
      const next = endOfEvent(data, Math.max(end, examined));
      if (next < 0) break;
      const event = data.subarray(end, next).toString('utf8');
      if (this.#order?.accepts(event) === false) {
        this.#isOutOfOrder = true;
        break;
      }
      this.#noteId(event);
      end = next;
      events += 1;
    }
    this.#total += events;
    // the buffer belongs to whoever writes the complete events.
    if (events > 0) this.dropOpen();
    if (this.#length === 0 && end < data.length) this.#append(data.subarray(end));
    return { bytes: data.subarray(0, end), events };
  }

  /** Discards the incomplete event of a connection that ended early. */
  dropOpen(): void {
    this.#buffer = NOTHING;
    this.#length = 0;
    this.#chunks = 0;
  }

  /** Adds bytes to the incomplete event; returns all of it. */
  #append(bytes: Buffer): Buffer {
    const length = this.#length + bytes.length;
    if (length > this.#buffer.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(MIN_BUFFER_BYTES, 2 * length));
      this.#buffer.copy(grown, 0, 0, this.#length);
      this.#buffer = grown;
    }
    bytes.copy(this.#buffer, this.#length);
    this.#length = length;
    return this.#buffer.subarray(0, length);
  }

  #noteId(event: string): void {
    const match = /^id:[ ]?(.*?)\r?$/m.exec(event);
    if (match?.[1] !== undefined) this.#lastId = Buffer.from(match[1]).toString('latin1');
  }
}

/** Index after the empty line that ends an event, or -1. */
function endOfEvent(data: Buffer, from: number): number {
  for (let at = data.indexOf(LINE_FEED, from); at >= 0; at = data.indexOf(LINE_FEED, at + 1)) {
    if (data[at + 1] === LINE_FEED) return at + 2;
    if (data[at + 1] === CARRIAGE_RETURN && data[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}
