/** Collects the bytes of a body in as much memory as they need. */

/** Size of the first block, in bytes. */
const FIRST_BLOCK_BYTES = 1024;
/** Maximum size of a block, in bytes. */
const MAX_BLOCK_BYTES = 64 * 1024;
const NOTHING = Buffer.alloc(0);

/**
 * Copies chunks into blocks. A chunk itself is not kept: it costs a hundred bytes more than it contains,
 * and keeps the whole buffer alive into which its connection was read.
 *
 * @example
 * body.on('data', (chunk: Buffer) => collector.add(chunk));
 * body.on('end', () => use(collector.toBuffer()));
 */
export class ByteCollector {
  #blocks: Buffer[] = [];
  #block: Buffer = NOTHING;
  /** Bytes of the last block that are used. */
  #used = 0;
  #size = 0;

  /** Number of bytes collected. */
  get size(): number {
    return this.#size;
  }

  add(chunk: Buffer): void {
    let at = 0;
    while (at < chunk.length) {
      if (this.#used === this.#block.length) this.#addBlock();
      const copied = chunk.copy(this.#block, this.#used, at);
      this.#used += copied;
      at += copied;
    }
    this.#size += chunk.length;
  }

  /** Forgets all bytes. */
  clear(): void {
    this.#blocks = [];
    this.#block = NOTHING;
    this.#used = 0;
    this.#size = 0;
  }

  /** Returns all bytes collected. */
  toBuffer(): Buffer {
    return Buffer.concat(this.#blocks, this.#size);
  }

  #addBlock(): void {
    const size = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.#size));
    this.#block = Buffer.allocUnsafeSlow(size);
    this.#blocks.push(this.#block);
    this.#used = 0;
  }
}
