/** Bounds the clients of a listener by the settings. */

import type { ClientConnectionsOptions, ListenerLimits } from '@flamingocourse/kernel';
import type { Server } from 'node:http';
import type { ClientLimits, ListenerName } from '../types/clientLimits.js';
import type { GatewayContext } from '../types/context.js';
import { ClientConnections } from '@flamingocourse/kernel';
import { ClientLimitLog } from './clientLimitLog.js';

/** Returns the limits of a listener whose requests have no time limits of their own. */
export function limitsOf(listener: ListenerName, limits: ClientLimits): ListenerLimits {
  return { ...limits, connections: limits.connections[listener] };
}

/**
 * Bounds the clients of a server; call `start` of the result when the server has all its listeners.
 *
 * @param limits limits of connections that begin now; by default those of the settings.
 * @example
 * const server = createServer(boundedServerOptions(settings.limits), handle);
 * boundClients(server, context, 'ready').start();
 */
export function boundClients(
  server: Server,
  context: GatewayContext,
  listener: ListenerName,
  limits?: () => ListenerLimits,
): ClientConnections {
  return new ClientConnections(server, clientOptions(context, listener, limits));
}

/** Returns the bounds of a listener's clients, which count together with those of the other listeners. */
export function clientOptions(
  context: GatewayContext,
  listener: ListenerName,
  limits = (): ListenerLimits => limitsOf(listener, context.settings.limits),
): ClientConnectionsOptions {
  const log = new ClientLimitLog(context, listener);
  return {
    limits,
    bytes: context.clientBytes,
    now: () => context.clock.now(),
    onClose: (cause) => {
      log.closed(cause);
    },
  };
}
