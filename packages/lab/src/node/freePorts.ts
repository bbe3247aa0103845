/** Finds ports for processes that must use the same address after a restart. */

import { closeSync, openSync, rmSync, statSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/**
 * Ports below the ephemeral range of most systems. A port of that range can be assigned to another
 * process between the check and its use: a router then exits at its start, or a test's server
 * receives requests of another test.
 */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;
/** Distance between the first ports of successive process ids, so that they rarely overlap. */
const PORTS_PER_PROCESS = 397;
/** Milliseconds after which the claim of a process that did not remove it is void. */
const CLAIM_MS = 10 * 60_000;

let next = process.pid * PORTS_PER_PROCESS;
/** Files of the ports that this process has claimed. */
const claimed = new Set<string>();

/**
 * Finds different ports on loopback that no process listens on now. Each call returns other ports,
 * because the users of earlier ones may not listen yet. For the same reason each port is claimed by a
 * file until this process ends: others of this machine that look for ports leave it out.
 *
 * @example
 * const [entry, mesh] = await findFreePorts(2);
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let looked = 0; ports.length < count; looked += 1) {
    if (looked === HIGHEST_PORT - LOWEST_PORT) {
      throw new RangeError(`no ${count} free ports from ${LOWEST_PORT} to ${HIGHEST_PORT}`);
    }
    const port = LOWEST_PORT + (next % (HIGHEST_PORT - LOWEST_PORT));
    next += 1;
    if (claimPort(port, Date.now()) && (await isFree(port))) ports.push(port);
  }
  return ports;
}

/**
 * Claims a port for this process; returns false if it is claimed already.
 *
 * @example
 * if (claimPort(20_001, Date.now())) useIt();
 */
export function claimPort(port: number, now: number): boolean {
  const file = claimFile(port);
  const claimedAt = statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? now;
  if (now - claimedAt > CLAIM_MS) rmSync(file, { force: true });
  try {
    closeSync(openSync(file, 'wx'));
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'EEXIST') return false;
    throw err;
  }
  if (claimed.size === 0) process.once('exit', releaseClaims);
  claimed.add(file);
  return true;
}

function releaseClaims(): void {
  for (const file of claimed) rmSync(file, { force: true });
}

function claimFile(port: number): string {
  return join(tmpdir(), `flamingocourse-port-${String(port)}`);
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
