/** Takes in what a server's answer says about its rate limit. */

import type { ServerId } from '@flamingocourse/core';
import type { ServerHead } from '../types/call.js';
import type { GatewayContext } from '../types/context.js';

/**
 * Records the limit of an answer that its server itself gave, and logs what is new.
 *
 * @example
 * learnRateLimit(context, 'p1', answer.head);
 */
export function learnRateLimit(context: GatewayContext, server: ServerId, head: ServerHead): void {
  const { clock, dialects, log, rateLimits } = context;
  const now = clock.now();
  const before = rateLimits.view(server, now);
  const told = dialects.servers.rateLimit(head);
  const change = rateLimits.tell(server, told, now);
  if (change === undefined) return;
  if (told.type === 'invalid') {
    log.write('server-rate-limit-invalid', { server, text: told.text, ...before });
    return;
  }
  const perSecond = told.type === 'limit' ? told.perSecond : undefined;
  log.write('server-rate-limit', { server, change, perSecond, ...before });
}
