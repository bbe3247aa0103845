/** Software versions of the servers of each service, as far as this instance has heard of them. */

import type { EpochMs, ServiceName } from '../../types/ids.js';

/**
 * Milliseconds for which a version counts after it was last seen. A stream that began at it may still be
 * taken up; longer than any caller waits.
 */
export const SOFTWARE_REMEMBERED_MS = 60_000;

/**
 * Remembers which software versions serve each service, and which did a short time ago.
 *
 * @example
 * seen.list('llm', ['v1'], now);
 * seen.observe('llm', 'v2', now);
 * seen.versionsOf('llm', now); // ['v1', 'v2']
 */
export class SeenSoftware {
  readonly #listed = new Map<ServiceName, ReadonlySet<string>>();
  readonly #lastSeenAt = new Map<ServiceName, Map<string, EpochMs>>();

  /** Applies the versions that the list shows from now on; they count until it shows them no longer. */
  list(service: ServiceName, versions: Iterable<string>, now: EpochMs): void {
    for (const version of this.#listed.get(service) ?? []) this.observe(service, version, now);
    this.#listed.set(service, new Set(versions));
  }

  /** Records that a server of this version serves, or did until now. */
  observe(service: ServiceName, version: string, now: EpochMs): void {
    const versions = this.#lastSeenAt.get(service) ?? new Map<string, EpochMs>();
    this.#lastSeenAt.set(service, versions);
    versions.set(version, Math.max(now, versions.get(version) ?? -Infinity));
    for (const [name, at] of versions) if (now - at > SOFTWARE_REMEMBERED_MS) versions.delete(name);
  }

  /** Versions that are listed or were seen lately, each once. */
  versionsOf(service: ServiceName, now: EpochMs): string[] {
    const seen = [...(this.#lastSeenAt.get(service) ?? [])]
      .filter(([, at]) => now - at <= SOFTWARE_REMEMBERED_MS)
      .map(([version]) => version);
    return [...new Set([...(this.#listed.get(service) ?? []), ...seen])];
  }
}
