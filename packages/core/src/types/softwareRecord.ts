/** What is recorded of the software that serves a service, where it outlasts all instances. */

import type { ServiceName } from './ids.js';

/**
 * State of a recorded version. Streams begin only at a version that is recorded as `serving`. A version
 * that is `ending` has been missing from the list for long, and is removed if it does not come back.
 */
export type RecordedState = 'serving' | 'ending';

/** A version of the software of a service at which streams may have begun. */
export interface RecordedVersion {
  version: string;
  state: RecordedState;
}

/** Record of one service. */
export interface SoftwareRecord {
  service: ServiceName;
  versions: RecordedVersion[];
}
