/** Bounds the memory of answers that are held until they, or their next event, are complete. */

/** Maximum size of one answer that is held, in bytes. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Maximum size of all of them together, in bytes; the smallest instance has 160 MB. */
const MAX_TOTAL_BYTES = 48 * 1024 * 1024;

/** What one answer holds. */
export interface HeldAnswer {
  /**
   * Records further bytes. Returns false if the answer must be given up: it is too large, or all
   * together are and this one holds more than its equal part.
   */
  add(bytes: number): boolean;
  /** Records that nothing of the answer is held any more. */
  release(): void;
}

/**
 * Counts the bytes held for all answers of the process. Servers that send without end are given up
 * first, because answers of the usual size hold less than an equal part.
 *
 * @example
 * const held = buffers.open();
 * if (!held.add(chunk.length)) giveUp();
 * held.release();
 */
export class AnswerBuffers {
  readonly #maxTotal: number;
  #answers = 0;
  #total = 0;

  constructor(maxTotal = MAX_TOTAL_BYTES) {
    this.#maxTotal = maxTotal;
  }

  /** Bytes held now. */
  get total(): number {
    return this.#total;
  }

  /** Begins to hold an answer. */
  open(): HeldAnswer {
    let size = 0;
    let isReleased = false;
    this.#answers += 1;
    return {
      add: (bytes) => {
        if (isReleased) return false;
        size += bytes;
        this.#total += bytes;
        return size <= MAX_ANSWER_BYTES && !this.#isSurplus(size);
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.#answers -= 1;
        this.#total -= size;
      },
    };
  }

  #isSurplus(size: number): boolean {
    return this.#total > this.#maxTotal && size > this.#maxTotal / this.#answers;
  }
}
