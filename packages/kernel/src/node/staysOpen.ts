/** Shows that the process at the other end of connections is still running. */

import type { Duplex } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';
import { waitForPendingReads } from './waitForPendingReads.js';

/** Number of times that a connection must be found open. */
const CHECKS = 3;
/** Milliseconds between two checks. */
const CHECK_INTERVAL_MS = 20;

/**
 * Returns whether one of the connections stays open. All connections of a process that ends are closed,
 * but not at the same moment, so the check is repeated.
 *
 * @param connections returns those that count now.
 *
 * @example
 * if (await staysOpen(() => agent.openConnections(url))) return 'running';
 */
export async function staysOpen(connections: () => readonly Duplex[]): Promise<boolean> {
  await waitForPendingReads();
  for (let checks = 1; checks < CHECKS && connections().some(isOpen); checks += 1) {
    await delay(CHECK_INTERVAL_MS);
    await waitForPendingReads();
  }
  return connections().some(isOpen);
}

function isOpen({ destroyed, readableEnded }: Duplex): boolean {
  return !destroyed && !readableEnded;
}
