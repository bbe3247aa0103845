/** Decides when new connections of callers are read, and which are closed without being read. */

/**
 * Milliseconds for which a new connection may wait to be read while the process is overloaded. A
 * caller whose connection is closed unread can still be served by another instance in time.
 */
const MAX_UNREAD_MS = 300;
/**
 * Milliseconds for which connections have to wait longer than that before the process counts as
 * overloaded. After a pause it reads all that came meanwhile.
 */
const OVERLOADED_AFTER_MS = 300;
/** Milliseconds without such a connection after which the process no longer counts as overloaded. */
const CAUGHT_UP_AFTER_MS = 1_000;
/** Milliseconds for which connections are closed one by one before all that wait are closed at once. */
const SHED_AFTER_MS = 200;
/** Milliseconds, and connections, that are accepted before some are read, while more are waiting. */
const ACCEPT_ONLY_MS = 10;
const ACCEPTED_PER_READ = 3;
/** Connections that are read in one iteration of the event loop; each brings a request's work. */
const READ_PER_ITERATION = 4;

/** An accepted connection from which nothing was read. */
interface UnreadConnection<T> {
  connection: T;
  /** Earliest time at which it can have been opened, in milliseconds. */
  openedFrom: number;
}

/** What to do with the connections that wait to be accepted. */
export type NextConnections = 'accept' | 'close' | 'shed';

/** What to do with connections now. */
export interface IntakeStep<T> {
  read: T[];
  /** Connections to close without reading. */
  close: T[];
}

/**
 * Orders the work of a listener that accepts one connection in each iteration of the event loop. If
 * every connection was read at once, an iteration would last as long as the work of one request, and
 * the connections behind it would wait in the operating system, where their time is not known. So
 * connections that wait to be accepted come before the work of those that were accepted.
 *
 * @example
 * intake.add(socket, bounds.connectionsFrom);
 * const { read, close } = intake.next({ isAccepting: true, now: clock.now() });
 */
export class ConnectionIntake<T> {
  #unread: UnreadConnection<T>[] = [];
  #readAt = -Infinity;
  #acceptedSinceRead = 0;
  /** Since when connections have waited too long; undefined if none has lately. */
  #behindSince: number | undefined;
  /** Since when connections are closed as they are accepted; undefined if they are not. */
  #closingSince: number | undefined;
  /** When a connection that has waited too long was last seen. */
  #lastTooOldAt = -Infinity;

  /** Whether no connection waits to be read. */
  get isEmpty(): boolean {
    return this.#unread.length === 0;
  }

  /** Adds an accepted connection. */
  add(connection: T, openedFrom: number): void {
    this.#unread.push({ connection, openedFrom });
  }

  /** Removes and returns all connections that wait to be read. */
  takeAll(): T[] {
    return this.#unread.splice(0).map(({ connection }) => connection);
  }

  /** Records that a connection was closed when it was accepted. */
  recordClosed(now: number): void {
    this.#lastTooOldAt = now;
  }

  /**
   * Returns what to do at the end of an iteration of the event loop.
   *
   * @param isAccepting whether the iteration accepted a connection, so that more may be waiting.
   */
  next({ isAccepting, now }: { isAccepting: boolean; now: number }): IntakeStep<T> {
    const close = this.#closeTooOld(now);
    if (isAccepting) this.#acceptedSinceRead += 1;
    const mayRead =
      now - this.#readAt >= ACCEPT_ONLY_MS && this.#acceptedSinceRead >= ACCEPTED_PER_READ;
    if (isAccepting && !mayRead) return { read: [], close };
    this.#acceptedSinceRead = 0;
    if (!this.isEmpty) this.#readAt = now;
    return { read: this.#takeToRead(now), close };
  }

  /**
   * Returns what to do with the connections that wait to be accepted, by when the next of them was opened:
   * accept it, close it as it is accepted, or close all of them at once, if closing them one by one has
   * not come to those that wait for a short time only.
   */
  judgeNext({ openedFrom, now }: { openedFrom: number; now: number }): NextConnections {
    if (!this.#isOverloaded(now) || !isTooOld(openedFrom, now)) {
      this.#closingSince = undefined;
      return 'accept';
    }
    this.#closingSince ??= now;
    if (now - this.#closingSince <= SHED_AFTER_MS) return 'close';
    this.#closingSince = undefined;
    return 'shed';
  }

  #isOverloaded(now: number): boolean {
    return now - (this.#behindSince ?? now) > OVERLOADED_AFTER_MS;
  }

  #closeTooOld(now: number): T[] {
    const tooOld = this.#unread.filter(({ openedFrom }) => isTooOld(openedFrom, now));
    if (tooOld.length > 0) {
      this.#behindSince ??= now;
      this.#lastTooOldAt = now;
    } else if (now - this.#lastTooOldAt > CAUGHT_UP_AFTER_MS) this.#behindSince = undefined;
    if (!this.#isOverloaded(now)) return [];
    this.#unread = this.#unread.filter(({ openedFrom }) => !isTooOld(openedFrom, now));
    return tooOld.map(({ connection }) => connection);
  }

  /** An overloaded process reads the newest connections, whose callers can still be served in time. */
  #takeToRead(now: number): T[] {
    const taken = this.#isOverloaded(now)
      ? this.#unread.splice(-READ_PER_ITERATION).reverse()
      : this.#unread.splice(0, READ_PER_ITERATION);
    return taken.map(({ connection }) => connection);
  }
}

function isTooOld(openedFrom: number, now: number): boolean {
  return now - openedFrom > MAX_UNREAD_MS;
}
