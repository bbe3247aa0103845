/** Takes in what a server's answer says of itself: that it leaves, that it wants to rest, its rate limit. */

import type { ServerStart, ToldRateLimit } from '@flamingocourse/core';
import type { ServerHead } from '../types/call.js';
import type { GatewayContext } from '../types/context.js';

/**
 * Records the words of an answer that its server itself gave, and logs what is new.
 *
 * @example
 * learnNotice(context, { id: 'p1', bornAt }, answer.head);
 */
export function learnNotice(context: GatewayContext, server: ServerStart, head: ServerHead): void {
  const { clock, dialects, log, notices } = context;
  const now = clock.now();
  const notice = dialects.servers.notice(head);
  learnRateLimit(context, server, notice.rateLimit, now);
  for (const change of notices.tell(server, notice, now)) {
    const said = notice.rest.type === 'invalid' ? notice.rest.text : undefined;
    log.write('server-notice', { server: server.id, change, said, ...notices.view(server, now) });
  }
}

function learnRateLimit(
  { log, notices: { rateLimits } }: GatewayContext,
  { id: server }: ServerStart,
  told: ToldRateLimit,
  now: number,
): void {
  const before = rateLimits.view(server, now);
  const change = rateLimits.tell(server, told, now);
  if (change === undefined) return;
  if (told.type === 'invalid') {
    log.write('server-rate-limit-invalid', { server, text: told.text, ...before });
    return;
  }
  const perSecond = told.type === 'limit' ? told.perSecond : undefined;
  log.write('server-rate-limit', { server, change, perSecond, ...before });
}
