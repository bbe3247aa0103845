/** Tokens that requests occupy in the memory of engines. */

import type { ServerId, Tokens } from '../../types/ids.js';

/** Requests at an engine now, as this instance estimates them. */
export interface EngineRequests {
  own: number;
  others: number;
}

/**
 * Sums the tokens that this instance has placed at each engine. The requests of other instances are
 * assumed to be as large as the own ones.
 *
 * @example
 * memory.place(attempt, 'e1', 5_400);
 * memory.hasRoom('e1', 5_400, { own: 1, others: 3 }, 431_233);
 * memory.release(attempt);
 */
export class EngineMemory {
  readonly #attempts = new Map<number, { server: ServerId; tokens: Tokens }>();
  readonly #placed = new Map<ServerId, Tokens>();
  #total: Tokens = 0;

  /** Records an attempt; `tokens` are those of its prompt and of its longest response. */
  place(attempt: number, server: ServerId, tokens: Tokens): void {
    this.#attempts.set(attempt, { server, tokens });
    this.#add(server, tokens);
  }

  /** Records the end of an attempt; unknown attempts are ignored. */
  release(attempt: number): void {
    const known = this.#attempts.get(attempt);
    if (!known) return;
    this.#attempts.delete(attempt);
    this.#add(known.server, -known.tokens);
  }

  /** Tokens in the memory of an engine, as far as can be estimated. */
  estimate(server: ServerId, { others }: EngineRequests): Tokens {
    const count = this.#attempts.size;
    const mean = count === 0 ? 0 : this.#total / count;
    return (this.#placed.get(server) ?? 0) + others * mean;
  }

  /** Whether a request fits into the memory of an engine. One that runs nothing has room for any. */
  hasRoom(
    server: ServerId,
    tokens: Tokens,
    requests: EngineRequests,
    memoryTokens: Tokens | undefined,
  ): boolean {
    if (memoryTokens === undefined || requests.own + requests.others === 0) return true;
    return this.estimate(server, requests) + tokens <= memoryTokens;
  }

  #add(server: ServerId, tokens: Tokens): void {
    const sum = (this.#placed.get(server) ?? 0) + tokens;
    if (sum > 0) this.#placed.set(server, sum);
    else this.#placed.delete(server);
    this.#total += tokens;
  }
}
