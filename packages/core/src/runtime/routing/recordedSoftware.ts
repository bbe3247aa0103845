/** Which listed software versions are known to be recorded where the record outlasts all instances. */

import type { ServiceName } from '../../types/ids.js';

/** A version from when the list shows it until the list shows it no longer. */
export interface SoftwareListing {
  readonly version: string;
  /** Whether the record was found to hold it, by a read or write that began after it was listed. */
  isRecorded: boolean;
}

/**
 * Knows where streams may begin: at versions that every later process will find in the record.
 *
 * @example
 * recorded.list('llm', ['v1']);
 * const unrecorded = recorded.unrecorded('llm');
 * // after they were written:
 * for (const listing of unrecorded) listing.isRecorded = true;
 */
export class RecordedSoftware {
  readonly #listings = new Map<ServiceName, Map<string, SoftwareListing>>();

  /** Applies the versions that the list shows now. One that was missing has to be recorded anew. */
  list(service: ServiceName, versions: Iterable<string>): void {
    const before = this.#listings.get(service);
    const listings = [...versions].map((version): [string, SoftwareListing] => {
      return [version, before?.get(version) ?? { version, isRecorded: false }];
    });
    this.#listings.set(service, new Map(listings));
  }

  /** Whether the list shows a version. */
  isListed(service: ServiceName, version: string): boolean {
    return this.#listings.get(service)?.has(version) ?? false;
  }

  /** Whether the list shows a version that is recorded. */
  has(service: ServiceName, version: string): boolean {
    return this.#listings.get(service)?.get(version)?.isRecorded ?? false;
  }

  /** Versions that the list shows and that are not known to be recorded. */
  unrecorded(service: ServiceName): SoftwareListing[] {
    const listings = [...(this.#listings.get(service)?.values() ?? [])];
    return listings.filter(({ isRecorded }) => !isRecorded);
  }
}
