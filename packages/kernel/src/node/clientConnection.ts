/** One connection of a client, as {@link ClientConnections} bounds it. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { BodyBuffers, HeldBytes } from '../runtime/heldBytes.js';
import type { BodyFraming, FeedPhase } from '../runtime/requestFeed.js';
import type { ListenerLimits } from '../types/listenerLimits.js';
import { STATUS_CODES } from 'node:http';
import { FeedTarget, RequestFeed } from '../runtime/requestFeed.js';
import { onTimeout } from './timeLimit.js';

/** Bytes sent ahead from which a connection is read no further until its current request is answered. */
const MAX_AHEAD_BYTES = 16 * 1024;
/** Memory of a request in progress beside its head, and of each field of it, in bytes. */
const REQUEST_BYTES = 4 * 1024;
const FIELD_BYTES = 128;
/** Milliseconds for the rest of a body whose request was answered before it had come. */
const REST_MS = 500;
/** Milliseconds for which a connection is read after its last answer, so that the client can read that. */
const LINGER_MS = 1_000;
/** Maximum bytes that are read and dropped in either time. */
const MAX_DROPPED_BYTES = 1024 * 1024;

/** Why a connection is closed. */
export type ClientFault = 'head-too-late' | 'body-too-late' | 'idle';

/** Options of {@link ClientConnection}. */
export interface ClientConnectionOptions {
  socket: Socket;
  limits: ListenerLimits;
  /** Counts the bytes held for all clients. */
  bytes: BodyBuffers;
  now: () => number;
}

/**
 * Feeds a connection's HTTP parser, and knows what the connection waits for. Create it after the HTTP
 * server has set up its parser.
 */
export class ClientConnection extends FeedTarget {
  readonly #socket: Socket;
  readonly #limits: ListenerLimits;
  readonly #bytes: BodyBuffers;
  readonly #now: () => number;
  readonly #feed: RequestFeed;
  readonly #parseBytes: (bytes: Buffer) => void;
  readonly #push = (chunk: Buffer): void => {
    this.#take(chunk);
  };
  /** What is held back of the connection; undefined while it is nothing. */
  #heldBack: HeldBytes | undefined;
  #framing: BodyFraming | undefined;
  #res: ServerResponse | undefined;
  /** Time at which the connection began to wait for what it waits for. */
  #since: number;
  #phase: FeedPhase = 'idle';
  /** When something was last held back; undefined while nothing is. */
  #heldBackAt: number | undefined;
  /** Since when the client does not read what is written of its answer. */
  #unreadSince: number | undefined;
  /** Whether the time limit of an unread answer runs. */
  #hasUnreadLimit = false;
  #closesAfterAnswer = false;
  #isLingering = false;
  #isReadingStopped = false;
  /** Bytes read and dropped since the last answer. */
  #droppedBytes = 0;

  constructor({ socket, limits, bytes, now }: ClientConnectionOptions) {
    super();
    this.#socket = socket;
    this.#limits = limits;
    this.#bytes = bytes;
    this.#now = now;
    this.#since = now();
    this.#feed = new RequestFeed(this, limits.headBytes);
    const [parse] = socket.listeners('data');
    this.#parseBytes = parse as (bytes: Buffer) => void;
    // a listener of its own also makes the parser let go of the socket, which it would read itself.
    socket.on('data', this.#push);
    socket.off('data', this.#parseBytes);
    socket.on('resume', () => {
      this.#run();
    });
    socket.once('close', () => {
      this.#feed.end();
      this.#record();
    });
    socket.destroySoon = () => {
      this.#linger();
    };
  }

  override get isOpen(): boolean {
    // the parser throws if it gets bytes after it has stopped its socket.
    return !this.#socket.destroyed && !(this.#socket as { _paused?: boolean })._paused;
  }

  override parse(bytes: Buffer): void {
    this.#parseBytes(bytes);
  }

  override takeFraming(): BodyFraming | undefined {
    const framing = this.#framing;
    this.#framing = undefined;
    return framing;
  }

  override refuseHead(): void {
    this.#refuse(431);
  }

  /** Time at which the head that is being passed on had arrived, if it was held back. */
  get heldBackAt(): number | undefined {
    return this.#heldBackAt;
  }

  /** Whether the client has sent something ahead of the answer to its current request. */
  get hasAhead(): boolean {
    return this.#feed.hasAhead;
  }

  /** Since when the connection waits for its client; undefined while the client waits. */
  get waitsSince(): number | undefined {
    const awaitsAnswer = this.#feed.phase === 'answer' && !this.#isLingering;
    return awaitsAnswer ? this.#unreadSince : this.#since;
  }

  /**
   * Records the request whose head was just parsed. Returns false if it must be refused, because heads
   * and bodies of all clients take too much memory.
   */
  begin(req: IncomingMessage, res: ServerResponse): boolean {
    const isChunked = req.headers['transfer-encoding'] !== undefined;
    const bytes = req.complete ? 0 : Number(req.headers['content-length'] ?? 0);
    this.#framing = isChunked && !req.complete ? { type: 'chunked' } : { type: 'length', bytes };
    this.#res = res;
    const held = this.#bytes.open();
    const size = REQUEST_BYTES + FIELD_BYTES * (req.rawHeaders.length / 2) + sizeOf(req);
    res.once('close', () => {
      held.release();
      this.#res = undefined;
      this.#unreadSince = undefined;
      this.#hasUnreadLimit = false;
      this.#end(req);
    });
    return held.set(size);
  }

  /** Closes the connection if it waits for its client longer than it may. Returns why, if so. */
  check(now: number): ClientFault | undefined {
    this.#checkUnread(now);
    const waitedMs = now - this.#since;
    const { headMs, bodyMs = Infinity, idleMs } = this.#limits;
    switch (this.#feed.phase) {
      case 'idle':
        if (waitedMs <= idleMs) return undefined;
        this.#socket.destroySoon();
        return 'idle';
      case 'head':
        if (waitedMs <= headMs) return undefined;
        this.#refuse(408);
        return 'head-too-late';
      case 'body':
        if (waitedMs <= bodyMs) return undefined;
        this.close();
        return 'body-too-late';
      case 'answer':
        return undefined;
    }
  }

  /** An answer that nobody reads must not hold its connection for ever. */
  #checkUnread(now: number): void {
    const { writableEnded: isWritten = false, writableNeedDrain: isBlocked = false } =
      this.#res ?? {};
    if (!isWritten && !isBlocked) {
      this.#unreadSince = undefined;
      return;
    }
    // expires only if nothing is read meanwhile; the end of the response sets another one.
    if (isWritten && !this.#hasUnreadLimit) this.#socket.setTimeout(this.#limits.unreadMs);
    this.#hasUnreadLimit = isWritten;
    this.#unreadSince ??= now;
  }

  /** Closes the connection at once. */
  close(): void {
    this.#socket.destroy();
  }

  /** Lets go of a socket that no longer speaks HTTP; nothing of it is held back then. */
  detach(): void {
    this.#socket.off('data', this.#push);
    this.#feed.end();
  }

  /** Drops what was sent ahead, unread: the current request is the last one of its connection. */
  dropAhead(): void {
    this.#feed.end();
    this.#heldBack?.release();
    this.#heldBack = undefined;
    this.#closesAfterAnswer = true;
    if (!this.#res) this.close();
    // announces the close, if the head of the answer was not written yet.
    else this.#res.shouldKeepAlive = false;
  }

  #take(chunk: Buffer): void {
    if (this.#feed.phase !== 'answer') this.#heldBackAt = undefined;
    if (this.#isLingering || this.#isAnswered) this.#drop(chunk.length);
    this.#feed.push(chunk);
    if (this.#feed.phase === 'answer') this.#heldBackAt = this.#now();
    this.#record();
  }

  /** Counts bytes that nobody needs any more; a client that sends too many of them is read no further. */
  #drop(bytes: number): void {
    this.#droppedBytes += bytes;
    if (this.#droppedBytes > MAX_DROPPED_BYTES) this.#stopReading(true);
  }

  /** Whether the current request was answered before its body had come. */
  get #isAnswered(): boolean {
    return this.#feed.phase === 'body' && !this.#res;
  }

  /** Goes on after an answer: with the next request, or with the rest of the body. */
  #end(req: IncomingMessage): void {
    this.#droppedBytes = 0;
    if (this.#socket.destroyed) return;
    if (this.#closesAfterAnswer) this.#linger();
    else if (!req.complete) this.#awaitRest(req);
    else if (this.#feed.hasAhead)
      setImmediate(() => {
        this.#beginNext();
      });
    else this.#beginNext();
  }

  /** Requests that were sent ahead begin in later iterations of the event loop, between those of others. */
  #beginNext(): void {
    this.#feed.answered();
    this.#record();
  }

  #stopReading(isStopped: boolean): void {
    if (isStopped === this.#isReadingStopped) return;
    this.#isReadingStopped = isStopped;
    if (isStopped) this.#socket.pause();
    else this.#socket.resume();
  }

  #awaitRest(req: IncomingMessage): void {
    this.#feed.answered();
    const stopTimer = onTimeout(REST_MS, () => {
      if (!req.complete) this.#linger();
    });
    req.once('close', stopTimer);
  }

  #run(): void {
    this.#feed.run();
    this.#record();
  }

  /** Counts what is held back, and reads no further where it is enough. */
  #record(): void {
    const { phase, heldBytes } = this.#feed;
    if (phase !== this.#phase) {
      this.#phase = phase;
      this.#since = this.#now();
    }
    if (heldBytes === 0) {
      this.#heldBack?.release();
      this.#heldBack = undefined;
      this.#heldBackAt = undefined;
      if (!this.#isAnswered && !this.#isLingering) this.#stopReading(false);
      return;
    }
    this.#heldBack ??= this.#bytes.open(() => {
      this.dropAhead();
    });
    if (this.#heldBack.set(heldBytes)) {
      this.#stopReading(phase === 'answer' && heldBytes >= MAX_AHEAD_BYTES);
    } else this.dropAhead();
  }

  /** Writes an answer to a request that the parser has not got; it has not run and never will. */
  #refuse(status: 408 | 431): void {
    const text = STATUS_CODES[status] ?? '';
    this.#feed.end();
    this.#socket.write(`HTTP/1.1 ${String(status)} ${text}\r\nConnection: close\r\n\r\n`);
    this.#linger();
  }

  /**
   * Ends the connection after what was written. What still comes is read and dropped for a while: to
   * close with unread bytes would reset the connection, and its client could lose the last answer.
   */
  #linger(): void {
    if (this.#isLingering || this.#socket.destroyed) return;
    this.#isLingering = true;
    this.#droppedBytes = 0;
    this.#since = this.#now();
    this.#feed.end();
    this.#socket.end();
    this.#stopReading(false);
    const stopTimer = onTimeout(LINGER_MS, () => {
      this.close();
    });
    this.#socket.once('end', () => {
      this.close();
    });
    this.#socket.once('close', stopTimer);
  }
}

function sizeOf({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, { length }) => sum + length, url.length);
}
