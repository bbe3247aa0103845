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
  /** Records how many bytes are held now, in place of what was recorded; returns the same. */
  set(bytes: number): boolean;
  /** The body is needed from now on, and is not given up for others. */
  keep(): void;
  /** Records that nothing of the body is held any more. */
  release(): void;
}

/** What can be given up while nothing is added to it. */
interface Evictable {
  readonly size: number;
  evict(): void;
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
  readonly #evictable = new Set<Evictable>();
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

  /**
   * Begins to hold a body.
   *
   * @param onEvict called if the body must be given up while nothing is added to it, because others need
   *   the room and it is the largest one; nothing is counted for it from then on.
   */
  open(onEvict?: () => void): HeldBytes {
    let size = 0;
    let isReleased = false;
    this.#bodies += 1;
    const release = (): void => {
      if (isReleased) return;
      isReleased = true;
      this.#bodies -= 1;
      this.#total -= size;
      this.#evictable.delete(evictable);
    };
    const evictable: Evictable = {
      get size() {
        return size;
      },
      evict: () => {
        release();
        onEvict?.();
      },
    };
    if (onEvict) this.#evictable.add(evictable);
    const set = (bytes: number): boolean => {
      if (isReleased) return false;
      this.#total += bytes - size;
      size = bytes;
      if (size > this.#maxBody || this.#isSurplus(size)) return false;
      this.#evictSurplus(evictable);
      return true;
    };
    return {
      set,
      addChunk: (bytes) => set(size + Math.max(bytes, MIN_COUNTED_BYTES)),
      keep: () => {
        this.#evictable.delete(evictable);
      },
      release,
    };
  }

  #isSurplus(size: number): boolean {
    return this.#total > this.#maxTotal && size > this.#maxTotal / this.#bodies;
  }

  /** Makes room for a body of the usual size: those that stopped to grow may hold more than their part. */
  #evictSurplus(except: Evictable): void {
    while (this.#total > this.#maxTotal) {
      const largest = [...this.#evictable].reduce<Evictable | undefined>((found, each) => {
        return each !== except && each.size > (found?.size ?? 0) ? each : found;
      }, undefined);
      if (!largest) return;
      largest.evict();
    }
  }
}
