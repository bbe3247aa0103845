/** Counts the prompt tokens that servers have received from this instance and not read yet. */

import type { EpochMs, ServerId, Tokens } from '../../types/ids.js';

/**
 * Milliseconds after which a request without an event counts no more: an engine reads the longest
 * prompt in less, so the request waits for a slot, which the load shows.
 */
const COUNTED_MS = 2_000;

interface Unread {
  tokens: Tokens;
  since: EpochMs;
}

/**
 * Tokens that a new request has to wait for at a server.
 *
 * @example
 * const read = unread.add('e1', 6_000, now);
 * unread.at('e1', now); // 6000
 * read();
 * unread.at('e1', now); // 0
 */
export class UnreadTokens {
  readonly #servers = new Map<ServerId, Set<Unread>>();

  /** Adds the tokens of a request; the function that is returned removes them. */
  add(id: ServerId, tokens: Tokens, now: EpochMs): () => void {
    const added = { tokens, since: now };
    const unread = this.#servers.get(id) ?? new Set<Unread>();
    this.#servers.set(id, unread.add(added));
    return () => {
      unread.delete(added);
      if (unread.size === 0 && this.#servers.get(id) === unread) this.#servers.delete(id);
    };
  }

  at(id: ServerId, now: EpochMs): Tokens {
    let tokens = 0;
    for (const unread of this.#servers.get(id) ?? []) {
      if (now - unread.since < COUNTED_MS) tokens += unread.tokens;
    }
    return tokens;
  }
}
