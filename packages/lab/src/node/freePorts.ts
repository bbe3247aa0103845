/** Finds ports for processes that must use the same address after a restart. */

import { createServer } from 'node:net';

/**
 * Ports below the ephemeral range of most systems. A port of that range can be assigned to another
 * process between the check and its use: a router then exits at its start, or a test's server
 * receives requests of another test.
 */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;
const MAX_ATTEMPTS_PER_PORT = 50;
/** Distance between the first ports of successive process ids, so that they rarely overlap. */
const PORTS_PER_PROCESS = 397;

let next = process.pid * PORTS_PER_PROCESS;

/**
 * Finds different ports on loopback that no process listens on now. Each call returns other ports,
 * because the users of earlier ones may not listen yet.
 *
 * @example
 * const [entry, mesh] = await findFreePorts(2);
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let attempts = 0; ports.length < count; attempts += 1) {
    if (attempts > count * MAX_ATTEMPTS_PER_PORT) {
      throw new RangeError(`no ${count} free ports from ${LOWEST_PORT} to ${HIGHEST_PORT}`);
    }
    const port = LOWEST_PORT + (next % (HIGHEST_PORT - LOWEST_PORT));
    next += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
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
