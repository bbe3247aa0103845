/** Ports for processes that must come back on the same address after a restart. */

import type { AddressInfo, Server } from 'node:net';
import { createServer } from 'node:net';

/** Finds ports on loopback that are free now, all different. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listenAnywhere));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

function listenAnywhere(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      resolve(server);
    });
  });
}
