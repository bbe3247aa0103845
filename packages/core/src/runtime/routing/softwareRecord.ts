/** Changes of a software record. Each returns the record itself if nothing has to change. */

import type { RecordedState, SoftwareRecord } from '../../types/softwareRecord.js';

/** State of a version in a record; undefined if it is not recorded. */
export function recordedState(
  { versions }: SoftwareRecord,
  version: string,
): RecordedState | undefined {
  return versions.find((each) => each.version === version)?.state;
}

/**
 * Records that servers of some versions are listed.
 *
 * @example
 * withServing({ service: 'llm', versions: [] }, ['v1']);
 */
export function withServing(record: SoftwareRecord, serving: readonly string[]): SoftwareRecord {
  const missing = serving.filter((version) => recordedState(record, version) !== 'serving');
  return missing.reduce((next, version) => withState(next, version, 'serving'), record);
}

/**
 * Announces that a version will be removed. An instance that lists it again records it as serving, which
 * changes the version of the stored object, so a removal that is based on this announcement fails.
 */
export function withEnding(record: SoftwareRecord, version: string): SoftwareRecord {
  return recordedState(record, version) === 'serving'
    ? withState(record, version, 'ending')
    : record;
}

/** Removes a version. Streams that began at it count as unknown afterwards. */
export function withoutVersion(record: SoftwareRecord, version: string): SoftwareRecord {
  if (recordedState(record, version) === undefined) return record;
  return { ...record, versions: record.versions.filter((each) => each.version !== version) };
}

function withState(record: SoftwareRecord, version: string, state: RecordedState): SoftwareRecord {
  const others = record.versions.filter((each) => each.version !== version);
  return { ...record, versions: [...others, { version, state }] };
}
