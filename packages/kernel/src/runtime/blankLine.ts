/** Finds the empty line that ends a head or trailers, across the chunks in which it arrives. */

const CR = 0x0d;
const LF = 0x0a;

/**
 * Searches chunk after chunk for an empty line. A line may end with LF alone, so that nothing which a
 * parser takes for the end of a head is missed.
 *
 * @example
 * const end = new BlankLine().find(chunk); // index after the empty line, or -1
 */
export class BlankLine {
  /** Bytes of the line that is not complete yet. */
  #lineBytes = 0;
  #lastByte = 0;

  /** Returns the index after the empty line; -1 if it has not come yet. */
  find(chunk: Buffer): number {
    let at = 0;
    for (;;) {
      const lf = chunk.indexOf(LF, at);
      if (lf === -1) {
        this.#keep(chunk, at);
        return -1;
      }
      const bytes = this.#lineBytes + lf - at;
      const before = lf > 0 ? chunk[lf - 1] : this.#lastByte;
      this.#lineBytes = 0;
      if (bytes === 0 || (bytes === 1 && before === CR)) return lf + 1;
      at = lf + 1;
    }
  }

  #keep(chunk: Buffer, from: number): void {
    this.#lineBytes += chunk.length - from;
    this.#lastByte = chunk.at(-1) ?? this.#lastByte;
  }
}
