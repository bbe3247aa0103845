/** Collects the bytes of a body in as much memory as they need. */

/** Size of the first block, in bytes. */
const FIRST_BLOCK_BYTES = 1024;
/** Maximum size of a block, in bytes. */
const MAX_BLOCK_BYTES = 64 * 1024;
/** Maximum number of whole blocks that are kept for the next bodies. */
const MAX_FREE_BLOCKS = 512;
const NOTHING = Buffer.alloc(0);

/**
 * Whole blocks that are not in use. Blocks that are given up take memory until a garbage collection, which
 * may come only after as many again were allocated.
 */
const freeBlocks: Buffer[] = [];

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

  /** Forgets all bytes, of which no parts may be in use any more. */
  clear(): void {
    for (const block of this.#blocks) {
      if (block.length === MAX_BLOCK_BYTES && freeBlocks.length < MAX_FREE_BLOCKS) {
        freeBlocks.push(block);
      }
    }
    this.#blocks = [];
    this.#block = NOTHING;
    this.#used = 0;
    this.#size = 0;
  }

  /** Returns a copy of all bytes collected. */
  toBuffer(): Buffer {
    return Buffer.concat(this.#blocks, this.#size);
  }

  /** All bytes collected, in parts that are in use until `clear`. */
  get parts(): Buffer[] {
    const last = this.#blocks.length - 1;
    return this.#blocks.map((block, at) => (at < last ? block : block.subarray(0, this.#used)));
  }

  #addBlock(): void {
    const size = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.#size));
    const free = size === MAX_BLOCK_BYTES ? freeBlocks.pop() : undefined;
    this.#block = free ?? Buffer.allocUnsafeSlow(size);
    this.#blocks.push(this.#block);
    this.#used = 0;
  }
}
