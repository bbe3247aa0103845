/** Fingerprints of parts of prompts, which stand beside those of whole requests. */

import type { Fingerprint } from '../../types/quarantine.js';

/** Digests of whole requests contain no colon. */
const PART_PREFIX = 'part:';

/**
 * Returns the fingerprint of a part of a prompt. It is the same for all requests with the part,
 * whatever their account, service and other parts.
 *
 * @example
 * partFingerprint('5c1e07a2'); // 'part:5c1e07a2'
 */
export function partFingerprint(partId: string): Fingerprint {
  return `${PART_PREFIX}${partId}`;
}

/** Whether a fingerprint is that of a part, which requests share. */
export function isPartFingerprint(fingerprint: Fingerprint): boolean {
  return fingerprint.startsWith(PART_PREFIX);
}
