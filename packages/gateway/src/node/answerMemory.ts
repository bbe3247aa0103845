/** Bounds the memory of answers on their way from servers to callers. */

import type { BodyBuffers, HeldBytes } from '@flamingocourse/kernel';
import type { ServerResponse } from 'node:http';

/** Size in bytes below which a written answer is not counted; most are read at once. */
const MIN_BYTES = 4 * 1024;

/** A written answer that is not read yet. */
interface UnreadAnswer {
  held: HeldBytes;
  onClose: () => void;
}

/**
 * Counts answers while they are read from their servers, and after that until their callers have read
 * them. If they take too much memory, those that are unread for longest are cut off, so that others get
 * theirs.
 *
 * @example
 * const held = answers.open();
 * if (!answers.fits(held, size)) giveUp();
 * held.release();
 * res.end(body);
 * answers.hold(res, body.length);
 */
export class AnswerMemory {
  readonly #bytes: BodyBuffers;
  /** Written answers that are not read yet, in the order in which they were written. */
  readonly #unread = new Map<ServerResponse, UnreadAnswer>();

  constructor(bytes: BodyBuffers) {
    this.#bytes = bytes;
  }

  /**
   * Begins to count an answer that is read from its server.
   *
   * @param onEvict called if the answer must be given up because others need the room.
   */
  open(onEvict: () => void): HeldBytes {
    return this.#bytes.open(onEvict);
  }

  /** Records how much is held of an answer. Returns false if it must be given up. */
  fits(held: HeldBytes, bytes: number): boolean {
    for (const [longest] of this.#unread) {
      if (held.set(bytes)) return true;
      this.release(longest);
      longest.destroy();
    }
    return held.set(bytes);
  }

  /** Counts what is unread of a written answer, until it is closed or let go of. */
  hold(res: ServerResponse, bytes: number): void {
    if (bytes < MIN_BYTES || res.destroyed || this.#unread.has(res)) return;
    const held = this.open(() => {
      res.destroy();
    });
    this.fits(held, bytes);
    const onClose = (): void => {
      this.release(res);
    };
    this.#unread.set(res, { held, onClose });
    res.once('close', onClose);
  }

  /** An answer was read so far as it was written. */
  release(res: ServerResponse): void {
    const unread = this.#unread.get(res);
    if (!unread) return;
    unread.held.release();
    // a stream is held and let go of many times.
    res.off('close', unread.onClose);
    this.#unread.delete(res);
  }
}
