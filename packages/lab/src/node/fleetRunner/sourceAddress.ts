/**
 * Loaded into a router process by `--import`, with `?address=...`: its outgoing HTTP connections
 * then come from that loopback address, by which relays tell the data centres apart.
 */

import { Agent } from 'node:http';

type CreateConnection = (options: object, ...rest: unknown[]) => unknown;

const localAddress = new URL(import.meta.url).searchParams.get('address') ?? undefined;
const prototype = Agent.prototype as unknown as { createConnection: CreateConnection };
const connect = prototype.createConnection;

prototype.createConnection = function createFromAddress(options, ...rest) {
  return connect.call(this, { ...options, localAddress }, ...rest);
};
