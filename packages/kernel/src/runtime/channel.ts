/**
 * Typed channels and processes on top of js-csp. Only this module uses the library.
 *
 * A process is a generator that uses `yield*` with {@link take}, {@link put}, {@link sleep} and
 * {@link awaitPromise}. js-csp discards errors that a process throws; {@link startProcess} catches
 * them and passes them to the failure handler, so that the end of a process is never hidden.
 */

import type { AltResult, RawChannel } from 'js-csp';
import csp from 'js-csp';
import { runInBackground } from './backgroundWork.js';

/** What happens when a value is offered to a full channel. */
export type OverflowRule = 'refuse' | 'drop-newest' | 'drop-oldest';

/** Generator of a process; the library resumes it with the result of each step. */
export type Steps<T> = Generator<unknown, T, unknown>;

/**
 * A bounded queue between processes, or from callbacks into a process.
 *
 * @example
 * const jobs = new Channel<Job>(100);
 * if (!jobs.offer(job)) return refuse('overloaded');
 */
export class Channel<T> {
  readonly raw: RawChannel;

  constructor(capacity: number, overflow: OverflowRule = 'refuse') {
    this.raw = csp.chan(createBuffer(capacity, overflow));
  }

  /** Adds a value without waiting. Returns whether the channel accepted it. */
  offer(value: T & NonNullable<unknown>): boolean {
    return !this.raw.isClosed() && csp.offer(this.raw, value);
  }

  /**
   * Takes the next value from outside a process; `undefined` if the channel is closed and empty.
   */
  async next(): Promise<T | undefined> {
    return new Promise((resolve) => {
      csp.takeAsync(this.raw, (value) => {
        resolve(value === csp.CLOSED ? undefined : (value as T));
      });
    });
  }

  /** Closes the channel; values that it already contains can still be taken. */
  close(): void {
    this.raw.close();
  }

  get closed(): boolean {
    return this.raw.isClosed();
  }
}

/** Takes the next value; `undefined` if the channel is closed and empty. */
export function* take<T>(channel: Channel<T>): Steps<T | undefined> {
  const value = yield csp.take(channel.raw);
  return value === csp.CLOSED ? undefined : (value as T);
}

/** Result of {@link takeWithin}. */
export type TimedTake<T> = { type: 'value'; value: T } | { type: 'timeout' } | { type: 'closed' };

/** Takes the next value, with a timeout of `ms` milliseconds. */
export function* takeWithin<T>(channel: Channel<T>, ms: number): Steps<TimedTake<T>> {
  const operations = [channel.raw, csp.timeout(ms)];
  const result = (yield csp.alts(operations, { priority: true })) as AltResult;
  if (result.channel !== channel.raw) return { type: 'timeout' };
  if (result.value === csp.CLOSED) return { type: 'closed' };
  return { type: 'value', value: result.value as T };
}

/** Puts a value; waits while the channel is full. Returns false if the channel is closed. */
export function* put<T>(channel: Channel<T>, value: T & NonNullable<unknown>): Steps<boolean> {
  return (yield csp.put(channel.raw, value)) as boolean;
}

/** Waits for `ms` milliseconds. */
export function* sleep(ms: number): Steps<void> {
  yield csp.take(csp.timeout(ms));
}

type Settled<T> = { ok: true; value: T } | { ok: false; err: unknown };

/** Waits for a promise; if it rejects, throws the reason inside the process. */
export function* awaitPromise<T>(promise: Promise<T>): Steps<T> {
  const settled = csp.promiseChan();
  const settle = (result: Settled<T>): void => {
    csp.putAsync(settled, result);
  };
  promise.then(
    (value) => {
      settle({ ok: true, value });
    },
    (err: unknown) => {
      settle({ ok: false, err });
    },
  );
  const result = (yield csp.take(settled)) as Settled<T>;
  if (result.ok) return result.value;
  throw result.err;
}

/**
 * Starts a process. The promise resolves when the body ends, also if it throws; the error is passed
 * to `onFailure`.
 *
 * @example
 * const done = startProcess(function* () {
 *   for (;;) {
 *     const job = yield* take(jobs);
 *     if (job === undefined) return;
 *     handle(job);
 *   }
 * }, (err) => kernel.reportFailure(err, 'worker'));
 */
export function startProcess(
  body: () => Steps<void>,
  onFailure: (err: unknown) => void,
): Promise<void> {
  return new Promise((resolve) => {
    csp.go(function* () {
      try {
        yield* body();
      } catch (err) {
        onFailure(err);
      } finally {
        resolve();
      }
    });
  });
}

/** Starts a process whose end nobody waits for; the error of one that throws goes to `onFailure`. */
export function startLoop(body: () => Steps<void>, onFailure: (err: unknown) => void): void {
  runInBackground(() => startProcess(body, onFailure), onFailure);
}

function createBuffer(capacity: number, overflow: OverflowRule): unknown {
  switch (overflow) {
    case 'refuse':
      return csp.buffers.fixed(capacity);
    case 'drop-newest':
      return csp.buffers.dropping(capacity);
    case 'drop-oldest':
      return csp.buffers.sliding(capacity);
  }
}
