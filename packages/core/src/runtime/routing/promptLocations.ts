/**
 * Records which server has a shared prompt cached, so that another server can copy it from there.
 */

import type { ServerId } from '../../types/ids.js';
import { LRUCache } from 'lru-cache';

/**
 * Maximum number of prompt parts remembered; each takes some hundred bytes. The callers use a few
 * hundred parts within the seconds for which an engine keeps a part cached.
 */
const MAX_PARTS = 4_096;

/**
 * Maps each prompt part to the server that processed it last.
 *
 * @example
 * locations.record('91bd3f06', 'i-7f3a91c2');
 * locations.find('91bd3f06'); // 'i-7f3a91c2'
 */
export class PromptLocations {
  readonly #servers = new LRUCache<string, ServerId>({ max: MAX_PARTS });

  /** The server that processed a part last, as far as this instance knows. */
  find(part: string): ServerId | undefined {
    return this.#servers.get(part);
  }

  /** Records that a server has processed a part. */
  record(part: string, server: ServerId): void {
    this.#servers.set(part, server);
  }
}
