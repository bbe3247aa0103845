/** Ports for processes that must come back on the same address after a restart. */

import { createServer } from 'node:net';

/**
 * Ports below the range from which systems usually serve port 0 and outgoing connections. A port of
 * that range can be given to any other process between the check and its use, which shows as a
 * router that ends at its start or as foreign requests at a test's server.
 */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;
const MAX_TRIES_PER_PORT = 50;
/** Ports from the first of one process to the first of the next one, so that neighbours hardly meet. */
const PORTS_PER_PROCESS = 397;

let next = process.pid * PORTS_PER_PROCESS;

/**
 * Finds ports on loopback that nothing listens on now, all different, and other ones with each call: whoever
 * asked for the earlier ones may not listen yet.
 *
 * @example
 * const [entry, mesh] = await findFreePorts(2);
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries += 1) {
    if (tries > count * MAX_TRIES_PER_PORT) {
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
