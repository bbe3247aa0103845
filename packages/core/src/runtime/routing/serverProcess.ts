/** Decides whether the process behind a connection is the one that the server list describes. */

import type { EpochMs } from '../../types/ids.js';
import type { ServerIncarnation } from './serverNotices.js';

/**
 * Milliseconds after the start of a server until which the list may still describe its process of before:
 * an entry that is not renewed expires after three heartbeats, and the list is read some time later.
 */
export const MAX_ENTRY_DELAY_MS = 5_500;

/** What is known of the process behind a connection. */
export interface ConnectedProcess {
  /** Its start, as it named it itself; undefined if it names none. */
  bornAt: EpochMs | undefined;
  /** When the connection was open for certain. */
  connectedAt: EpochMs;
}

/** Which process is behind a connection. */
export type ProcessVerdict =
  /** The one of the entry, so the entry tells its software. */
  | 'listed'
  /** Another one under the same id; its software is not known. */
  | 'other'
  /** It names no start, and the entry may be that of the process before. */
  | 'unclear';

/**
 * Compares a process with the entry of its server. A server that can start again under its id names its
 * start in its entry; the id of any other server identifies the process.
 *
 * @param confirmedAt when the list of servers was last confirmed.
 * @example
 * judgeProcess({ id: 'e1', bornAt: 7 }, { bornAt: 8, connectedAt: now }, now); // 'other'
 */
export function judgeProcess(
  listed: Pick<ServerIncarnation, 'bornAt'>,
  { bornAt, connectedAt }: ConnectedProcess,
  confirmedAt: EpochMs,
): ProcessVerdict {
  if (listed.bornAt === undefined) return 'listed';
  if (bornAt !== undefined) return bornAt === listed.bornAt ? 'listed' : 'other';
  return confirmedAt - connectedAt > MAX_ENTRY_DELAY_MS ? 'listed' : 'unclear';
}
