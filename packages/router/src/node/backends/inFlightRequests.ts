/** Which requests run at which server, so that a crash is reported once for all of them. */

import type { ServerId } from '@flamingocourse/core';

/** Attempts in flight of one service at this router. */
export class InFlightRequests {
  readonly #byServer = new Map<ServerId, Map<number, string>>();
  /** Requests whose connections ended, by the servers of which it isn't known yet whether they crashed. */
  readonly #brokenOff = new Map<ServerId, Set<string>>();

  add(server: ServerId, attempt: number, fingerprint: string): void {
    const attempts = this.#byServer.get(server) ?? new Map<number, string>();
    attempts.set(attempt, fingerprint);
    this.#byServer.set(server, attempts);
  }

  /** Removes an attempt; false if a crash has already been reported for it. */
  remove(server: ServerId, attempt: number): boolean {
    return this.#byServer.get(server)?.delete(attempt) ?? false;
  }

  /**
   * Sets a request aside that its server broke off.
   *
   * @returns whether it is the first one, so that somebody has to find out about the server.
   */
  breakOff(server: ServerId, fingerprint: string): boolean {
    const known = this.#brokenOff.get(server);
    if (known) known.add(fingerprint);
    else this.#brokenOff.set(server, new Set([fingerprint]));
    return known === undefined;
  }

  /** Returns the requests that a server broke off, and forgets them. */
  takeBrokenOff(server: ServerId): string[] {
    const brokenOff = this.#brokenOff.get(server) ?? [];
    this.#brokenOff.delete(server);
    return [...brokenOff];
  }

  /**
   * Removes all attempts at a server that has crashed and returns their fingerprints. Their own ends
   * come one by one and must not count as further crashes.
   */
  takeAll(server: ServerId): string[] {
    const attempts = this.#byServer.get(server);
    this.#byServer.delete(server);
    return [...(attempts?.values() ?? [])];
  }
}
