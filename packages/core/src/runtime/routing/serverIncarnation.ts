/** Identifies one incarnation of a server, from its start to its end. */

import type { ServerIncarnation } from './serverNotices.js';

/**
 * Returns an id for one incarnation of a server. A server that restarts under the same id gets a
 * new one.
 *
 * @example
 * serverIncarnationId({ id: 'p1', bornAt: 1_700_000_000_000 }); // 'p1@1700000000000'
 */
export function serverIncarnationId({ id, bornAt }: ServerIncarnation): string {
  return bornAt === undefined ? id : `${id}@${String(bornAt)}`;
}
