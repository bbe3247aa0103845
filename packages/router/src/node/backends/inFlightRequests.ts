/** Tracks which requests run at which server, so that a crash is reported once for all of them. */

import type { Fingerprint, ServerId } from '@flamingocourse/core';

/** In-flight attempts of one service at this router. */
export class InFlightRequests {
  readonly #byServer = new Map<ServerId, Map<number, readonly Fingerprint[]>>();
  /** Requests whose connections broke, by server, until the crash check of the server ends. */
  readonly #brokenRequests = new Map<ServerId, Set<Fingerprint>>();

  /** @param fingerprints of the request and the parts of its prompt. */
  add(server: ServerId, attempt: number, fingerprints: readonly Fingerprint[]): void {
    const attempts = this.#byServer.get(server) ?? new Map<number, readonly Fingerprint[]>();
    attempts.set(attempt, fingerprints);
    this.#byServer.set(server, attempts);
  }

  /** Removes an attempt; returns false if a crash has already been reported for it. */
  remove(server: ServerId, attempt: number): boolean {
    return this.#byServer.get(server)?.delete(attempt) ?? false;
  }

  /**
   * Records a request whose connection the server broke, until the crash check has a result.
   *
   * @returns whether it is the first one for the server, so that a crash check has to be started.
   */
  recordBrokenRequest(server: ServerId, fingerprints: readonly Fingerprint[]): boolean {
    const known = this.#brokenRequests.get(server);
    this.#brokenRequests.set(server, new Set([...(known ?? []), ...fingerprints]));
    return known === undefined;
  }

  /** Removes and returns the requests whose connections a server broke. */
  takeBrokenRequests(server: ServerId): Fingerprint[] {
    const brokenRequests = this.#brokenRequests.get(server) ?? [];
    this.#brokenRequests.delete(server);
    return [...brokenRequests];
  }

  /**
   * Removes all attempts at a crashed server and returns their fingerprints. These attempts end one
   * after another later, and must not count as further crashes.
   */
  takeAll(server: ServerId): Fingerprint[] {
    const attempts = this.#byServer.get(server);
    this.#byServer.delete(server);
    return [...(attempts?.values() ?? [])].flat();
  }
}
