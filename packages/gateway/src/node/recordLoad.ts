/** Records the load and speed that a response reports about its server. */

import type { SendTarget, ServerPool } from '@flamingocourse/core';
import type { ReportedLoad, ServerHead } from '../types/call.js';
import type { GatewayContext } from '../types/context.js';

/**
 * Records the load and speed in a response. Only for responses that the server itself sent.
 *
 * @returns the load; undefined if the response reports none that can be read.
 * @param pool servers of the service; undefined while none is listed.
 * @example
 * recordLoad(context, lane.pool, server, answer.head);
 */
export function recordLoad(
  context: GatewayContext,
  pool: ServerPool | undefined,
  { id, service }: Pick<SendTarget, 'id' | 'service'>,
  head: ServerHead,
): ReportedLoad | undefined {
  const { adaptiveLoad, clock, dialects, log } = context;
  const now = clock.now();
  const reading = dialects.servers.load(head);
  if (reading.type === 'none') return undefined;
  const unread = reading.type === 'load' ? reading.ignored : reading.text;
  if (unread !== undefined && pool?.mayLogInvalidLoad(id, now)) {
    const used = reading.type === 'load' ? Object.keys(reading.load).join(' ') : '';
    log.write('server-load-invalid', { server: id, service, text: unread, used });
  }
  if (reading.type === 'invalid') return undefined;
  if (reading.load.slowdown !== undefined) adaptiveLoad.recordSpeedReport();
  pool?.reportLoad(id, { ...reading.load, at: now }, now);
  return reading.load;
}
