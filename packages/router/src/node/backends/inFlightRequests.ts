/** Which requests run at which server, so that a crash is reported once for all of them. */

import type { ServerId } from '@flamingocourse/core';

/** Attempts in flight of one service at this router. */
export class InFlightRequests {
  readonly #byServer = new Map<ServerId, Map<number, string>>();

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
   * Removes all attempts at a server that has crashed and returns their fingerprints. Their own ends
   * come one by one and must not count as further crashes.
   */
  takeAll(server: ServerId): string[] {
    const attempts = this.#byServer.get(server);
    this.#byServer.delete(server);
    return [...(attempts?.values() ?? [])];
  }
}
