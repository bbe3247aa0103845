/**
 * Loaded into a router process with `--import ...?address=ADDRESS`. Outgoing HTTP connections of the
 * process then use that loopback address as their source, so that relays can identify its data
 * centre.
 */

import { Agent } from 'node:http';

type CreateConnection = (options: object, ...rest: unknown[]) => unknown;

const localAddress = new URL(import.meta.url).searchParams.get('address') ?? undefined;
const prototype = Agent.prototype as unknown as { createConnection: CreateConnection };
const originalCreateConnection = prototype.createConnection;

prototype.createConnection = function createFromAddress(options, ...rest) {
  return originalCreateConnection.call(this, { ...options, localAddress }, ...rest);
};
