/** Prompt prefix cache of the engine stand-in: an LRU cache of blocks of words. */

import { createHash } from 'node:crypto';

/** A change of the cache, which the engine publishes with a delay and with gaps. */
export interface CacheEvent {
  /** Consecutive number, so that a reader can detect missed events. */
  seq: number;
  type: 'stored' | 'removed';
  /** Digest over the block and all blocks before it. */
  block: string;
  at: number;
}

/** Number of words in a block. */
export const BLOCK_WORDS = 16;

/**
 * Least-recently-used cache of prefix blocks.
 *
 * @example
 * const cache = new PrefixCache(1024, (type, block) => publish(type, block));
 * const cachedTokens = cache.use(words);
 */
export class PrefixCache {
  /** A Map preserves insertion order, so its first key is the least recently used block. */
  readonly #blocks = new Map<string, true>();
  readonly #capacity: number;
  readonly #onChange: (type: CacheEvent['type'], block: string) => void;

  constructor(capacity: number, onChange: (type: CacheEvent['type'], block: string) => void) {
    this.#capacity = capacity;
    this.#onChange = onChange;
  }

  /** Fraction of the capacity in use, from 0 to 1. */
  get usage(): number {
    return this.#capacity === 0 ? 0 : this.#blocks.size / this.#capacity;
  }

  /** Looks up a prompt, stores its blocks and returns the number of cached words. */
  use(words: readonly string[]): number {
    const blocks = blockDigests(words);
    const firstMiss = blocks.findIndex((block) => !this.#blocks.has(block));
    const hits = firstMiss === -1 ? blocks.length : firstMiss;
    for (const block of blocks) this.#store(block);
    return hits * BLOCK_WORDS;
  }

  #store(block: string): void {
    const known = this.#blocks.delete(block);
    this.#blocks.set(block, true);
    if (!known) this.#onChange('stored', block);
    if (this.#blocks.size <= this.#capacity) return;
    const oldest = this.#blocks.keys().next().value;
    if (oldest === undefined) return;
    this.#blocks.delete(oldest);
    this.#onChange('removed', oldest);
  }
}

/** Digests of the full blocks of a prompt; each covers all blocks before it. */
export function blockDigests(words: readonly string[]): string[] {
  const digests: string[] = [];
  let previous = '';
  for (let start = 0; start + BLOCK_WORDS <= words.length; start += BLOCK_WORDS) {
    const block = words.slice(start, start + BLOCK_WORDS).join(' ');
    previous = createHash('sha256').update(`${previous}\n${block}`).digest('hex').slice(0, 16);
    digests.push(previous);
  }
  return digests;
}
