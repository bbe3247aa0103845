/** Software versions that may run a request. */

import type { StreamSoftware } from '../../types/placement.js';

/** A request that any server may run. */
export const ANY_SOFTWARE: StreamSoftware = { type: 'any' };
/**
 * Version of a stream that began at a process whose software is not certain. No server has this version, so the
 * stream goes on nowhere.
 */
export const UNCERTAIN_VERSION = '(uncertain)';

/**
 * Whether a stream has begun, so that not every server may go on with it.
 *
 * @example
 * hasBegun({ type: 'version', version: 'v1' }); // true
 */
export function hasBegun({ type }: StreamSoftware): boolean {
  return type === 'version' || type === 'unknown';
}
