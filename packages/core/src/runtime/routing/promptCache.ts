/** Estimates which prompt parts the engines have cached, from what this instance had them read. */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { ServerIncarnation } from './serverNotices.js';
import { LRUCache } from 'lru-cache';
import { serverIncarnationId } from './serverIncarnation.js';

/**
 * Maximum number of chains of prompt parts; with their engines, each takes up to a kilobyte. Callers
 * use a few hundred within the seconds for which an engine keeps a part.
 */
const MAX_CHAINS = 4_096;
/** Maximum number of engines remembered for a chain. */
const MAX_HOLDERS = 8;

interface Holder {
  /** Process that read the part; another process under the same id has not. */
  process: string;
  at: EpochMs;
}

/**
 * Which engines read a chain of prompt parts last, and when. Chains are named by `chainKeys`.
 *
 * @example
 * cache.record({ id: 'e1', bornAt }, chainKeys(parts), now);
 * cache.ages({ id: 'e1', bornAt }, chainKeys(parts), now + 500); // [500, 500]
 */
export class PromptCache {
  readonly #chains = new LRUCache<string, Map<ServerId, Holder>>({ max: MAX_CHAINS });

  /** Number of chains remembered. */
  get size(): number {
    return this.#chains.size;
  }

  /** Records that a server has just read the parts of a prompt. */
  record(server: ServerIncarnation, keys: readonly string[], now: EpochMs): void {
    const process = serverIncarnationId(server);
    for (const key of keys) {
      const holders = this.#chains.get(key) ?? new Map<ServerId, Holder>();
      // the most recent engine is the last in the map, so the first one is dropped.
      holders.delete(server.id);
      holders.set(server.id, { process, at: now });
      const [oldest] = holders.keys();
      if (holders.size > MAX_HOLDERS && oldest !== undefined) holders.delete(oldest);
      this.#chains.set(key, holders);
    }
  }

  /**
   * Milliseconds since each part of a prompt was last read at a server; undefined for the first part
   * that this instance did not have read there, and for all after it.
   */
  ages(server: ServerIncarnation, keys: readonly string[], now: EpochMs): (number | undefined)[] {
    const process = serverIncarnationId(server);
    let isKnown = true;
    return keys.map((key) => {
      const holder = isKnown ? this.#chains.peek(key)?.get(server.id) : undefined;
      isKnown = holder?.process === process;
      return isKnown && holder ? now - holder.at : undefined;
    });
  }

  /** Servers that read the first part, those that read it last at the end. */
  holders([first]: readonly string[]): ServerId[] {
    return first === undefined ? [] : [...(this.#chains.peek(first)?.keys() ?? [])];
  }

  /** Forgets that a server has a part and what follows it in the prompt. */
  drop(id: ServerId, keys: readonly string[]): void {
    for (const key of keys) this.#chains.peek(key)?.delete(id);
  }

  /** Forgets everything about a server, because its process has ended. */
  dropServer(id: ServerId): void {
    for (const holders of this.#chains.values()) holders.delete(id);
  }
}
