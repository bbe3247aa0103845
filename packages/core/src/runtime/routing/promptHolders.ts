/** Where prompts that requests share were read, so that another server can copy them from there. */

import type { ServerId } from '../../types/ids.js';
import { LRUCache } from 'lru-cache';

/**
 * Prompt parts that are remembered, some hundred bytes each. The customers ask for a few hundred within
 * the seconds for which an engine keeps a part.
 */
const MAX_PARTS = 4_096;

/**
 * Servers that read a prompt part last, by the part.
 *
 * @example
 * holders.read('91bd3f06', 'i-7f3a91c2');
 * holders.find('91bd3f06'); // 'i-7f3a91c2'
 */
export class PromptHolders {
  readonly #servers = new LRUCache<string, ServerId>({ max: MAX_PARTS });

  /** The server that read a part last, as far as this instance knows. */
  find(part: string): ServerId | undefined {
    return this.#servers.get(part);
  }

  /** Notes that a server has read a part. */
  read(part: string, server: ServerId): void {
    this.#servers.set(part, server);
  }
}
