/** Joins log lines, so that they take one write together. */

/** Milliseconds for which a line waits for others. */
const WAIT_MS = 50;
/** Characters from which lines do not wait any longer. */
const MAX_CHARS = 16 * 1024;

/**
 * Collects lines for a short time. A write takes more processor time than the line itself, a quarter of
 * a millisecond where system calls are slow.
 *
 * @example
 * const batch = new LineBatch((lines) => output.write(lines));
 * batch.add('{"name":"request-ended"}\n');
 * batch.flush();
 */
export class LineBatch {
  readonly #write: (lines: string) => void;
  #lines = '';
  #timer: NodeJS.Timeout | undefined;

  constructor(write: (lines: string) => void) {
    this.#write = write;
  }

  add(line: string): void {
    this.#lines += line;
    if (this.#lines.length >= MAX_CHARS) this.flush();
    else {
      this.#timer ??= setTimeout(() => {
        this.flush();
      }, WAIT_MS);
    }
  }

  /** Writes the collected lines at once. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#lines === '') return;
    const lines = this.#lines;
    this.#lines = '';
    this.#write(lines);
  }
}
