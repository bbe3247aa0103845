/**
 * Servers that are used although their entry is missing. While the store is away the entries of servers
 * that live lapse, because they can't be renewed; a server that left is missing in the same way. The list
 * can't tell the two apart, but the server itself can, so each kept server is asked.
 */

import type { EpochMs, ServerId } from '../../types/ids.js';

/** What a server says of itself when it is asked. */
export type ServerWord =
  | 'staying'
  | 'leaving'
  /** Nobody listens at its address, or another server does. */
  | 'gone'
  /** No answer, or one that does not tell: a busy server is slow to answer, or turns the question away. */
  | 'unknown';

/** Milliseconds between two questions; a server that leaves meanwhile goes on serving for longer. */
const ASK_AGAIN_MS = 500;

/** One server. */
interface KeptServer {
  since: EpochMs;
  /** When it is taken as gone, whatever it says. */
  until: EpochMs;
  /** When it is asked next; infinite while it is being asked. */
  askAt: EpochMs;
  lastWord: ServerWord;
}

/** How the keeping of a server went, for the log. */
export interface KeptSummary {
  keptMs: number;
  lastWord: ServerWord;
}

/**
 * Decides how long servers without an entry are used, and when they are asked.
 *
 * @example
 * kept.keep('p1', now + 2_200, now);
 * for (const id of kept.takeToAsk(now)) ask(id).then((word) => kept.hear(id, word, later()));
 */
export class KeptServers {
  readonly #servers = new Map<ServerId, KeptServer>();

  get size(): number {
    return this.#servers.size;
  }

  /** When something is due next; infinite when nothing is. */
  get nextAt(): EpochMs {
    const times = [...this.#servers.values()].map(({ until, askAt }) => Math.min(until, askAt));
    return Math.min(...times);
  }

  has(id: ServerId): boolean {
    return this.#servers.has(id);
  }

  /** Keeps a server up to a time. Returns whether it was not kept before. */
  keep(id: ServerId, until: EpochMs, now: EpochMs): boolean {
    const known = this.#servers.get(id);
    if (known) known.until = Math.max(known.until, until);
    else this.#servers.set(id, { since: now, until, askAt: now, lastWord: 'unknown' });
    return known === undefined;
  }

  /** Ends the keeping of a server; undefined if it was not kept. */
  end(id: ServerId, now: EpochMs): KeptSummary | undefined {
    const known = this.#servers.get(id);
    this.#servers.delete(id);
    return known && { keptMs: now - known.since, lastWord: known.lastWord };
  }

  /** Servers that are to be asked now; each of them is not told again before its answer. */
  takeToAsk(now: EpochMs): ServerId[] {
    const due = [...this.#servers].filter(([, { askAt }]) => askAt <= now);
    for (const [, server] of due) server.askAt = Infinity;
    return due.map(([id]) => id);
  }

  /** Takes in a server's word. Returns whether it is still kept. */
  hear(id: ServerId, word: ServerWord, now: EpochMs): boolean {
    const known = this.#servers.get(id);
    if (!known) return false;
    known.lastWord = word;
    known.askAt = now + ASK_AGAIN_MS;
    return word !== 'leaving' && word !== 'gone';
  }

  /** Servers whose time is over. */
  over(now: EpochMs): ServerId[] {
    return [...this.#servers].filter(([, { until }]) => until <= now).map(([id]) => id);
  }
}
