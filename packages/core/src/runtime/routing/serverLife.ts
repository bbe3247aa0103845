/** Names one life of a server, from its start to its end. */

import type { ServerStart } from './serverNotices.js';

/**
 * A server may start again under the id that it had; its next life has another name.
 *
 * @example
 * lifeOf({ id: 'p1', bornAt: 1_700_000_000_000 }); // 'p1@1700000000000'
 */
export function lifeOf({ id, bornAt }: ServerStart): string {
  return bornAt === undefined ? id : `${id}@${String(bornAt)}`;
}
