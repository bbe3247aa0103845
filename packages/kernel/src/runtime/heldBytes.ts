/** Bounds the memory of bodies that are held until they are complete. */

/** Maximum size of one body that is held, in bytes. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/**
 * Maximum size of all of them together, in bytes. The smallest instance has 160 MB, of which 80 MB are in
 * use when it starts, and what was given up takes memory until the next garbage collection.
 */
const MAX_TOTAL_BYTES = 24 * 1024 * 1024;
/**
 * Bytes for which a chunk counts at least: a body in chunks of one byte takes a hundred times the
 * processor time of one in large chunks.
 */
export const MIN_COUNTED_BYTES = 256;

/** What is held of one body. */
export interface HeldBytes {
  /**
   * Records a further chunk. Returns false if the body must be given up: it is too large, or all
   * together are and this one holds more than its equal part.
   */
  addChunk(bytes: number): boolean;
  /** Records that nothing of the body is held any more. */
  release(): void;
}

/**
 * Counts the bytes held for all bodies of one kind. Those that are sent without end are given up first,
 * because bodies of the usual size hold less than an equal part.
 *
 * @example
 * const held = buffers.open();
 * if (!held.addChunk(chunk.length)) giveUp();
 * held.release();
 */
export class BodyBuffers {
  readonly #maxTotal: number;
  readonly #maxBody: number;
  #bodies = 0;
  #total = 0;

  constructor(maxTotal = MAX_TOTAL_BYTES, maxBody = MAX_BODY_BYTES) {
    this.#maxTotal = maxTotal;
    this.#maxBody = maxBody;
  }

  /** Bytes held now. */
  get total(): number {
    return this.#total;
  }

  /** Begins to hold a body. */
  open(): HeldBytes {
    let size = 0;
    let isReleased = false;
    this.#bodies += 1;
    return {
      addChunk: (bytes) => {
        if (isReleased) return false;
        const counted = Math.max(bytes, MIN_COUNTED_BYTES);
        size += counted;
        this.#total += counted;
        return size <= this.#maxBody && !this.#isSurplus(size);
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.#bodies -= 1;
        this.#total -= size;
      },
    };
  }

  #isSurplus(size: number): boolean {
    return this.#total > this.#maxTotal && size > this.#maxTotal / this.#bodies;
  }
}
