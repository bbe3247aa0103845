/** Software versions of the servers of each service, as far as this instance has heard of them. */

import type { EpochMs, ServiceName } from '../../types/ids.js';

/**
 * Milliseconds for which a version counts after it was last seen. A stream that began at it may still be
 * taken up; longer than any caller waits.
 */
export const SOFTWARE_REMEMBERED_MS = 60_000;

/**
 * Remembers which software versions served each service a short time ago.
 *
 * @example
 * seen.observe('llm', 'v1', now);
 * seen.versionsOf('llm', now); // ['v1']
 */
export class SeenSoftware {
  readonly #lastSeenAt = new Map<ServiceName, Map<string, EpochMs>>();

  /** Records that a server of this version is listed, or was until now. */
  observe(service: ServiceName, version: string, now: EpochMs): void {
    const versions = this.#lastSeenAt.get(service) ?? new Map<string, EpochMs>();
    this.#lastSeenAt.set(service, versions);
    versions.set(version, Math.max(now, versions.get(version) ?? -Infinity));
    for (const [name, at] of versions) if (now - at > SOFTWARE_REMEMBERED_MS) versions.delete(name);
  }

  /** Versions that were seen lately, each once. */
  versionsOf(service: ServiceName, now: EpochMs): string[] {
    return [...(this.#lastSeenAt.get(service) ?? [])]
      .filter(([, at]) => now - at <= SOFTWARE_REMEMBERED_MS)
      .map(([version]) => version);
  }
}
