/** Records what a response says about its server: leaving, requested pause, rate limit, brittleness. */

import type {
  ColdTarget,
  NoticeChange,
  ReportedCold,
  ReportedRateLimit,
  SendTarget,
  ServerIncarnation,
  ServerNotice,
} from '@flamingocourse/core';
import type { ServerHead } from '../types/call.js';
import type { GatewayContext } from '../types/context.js';

/**
 * Records the notices in a response and logs those that are new. Only for responses that the server
 * itself sent.
 *
 * @example
 * recordNotice(context, { id: 'p1', bornAt }, answer.head);
 */
export function recordNotice(context: GatewayContext, server: SendTarget, head: ServerHead): void {
  const { clock, dialects, log, rules } = context;
  const { notices } = rules;
  const now = clock.now();
  const notice = dialects.servers.notice(head);
  recordRateLimit(context, server, notice.rateLimit, now);
  recordCold(context, server, notice.cold, 'answer');
  for (const change of notices.record(server, notice, now)) {
    const said = invalidText(change, notice);
    log.write('server-notice', { server: server.id, change, said, ...notices.view(server, now) });
  }
}

/** Text of the value that could not be parsed, if that is the change. */
function invalidText(change: NoticeChange, { rest, brittle }: ServerNotice): string | undefined {
  if (change === 'rest-invalid' && rest.type === 'invalid') return rest.text;
  if (change === 'brittle-invalid' && brittle.type === 'invalid') return brittle.text;
  return undefined;
}

function recordRateLimit(
  { log, rules }: GatewayContext,
  { id: server }: ServerIncarnation,
  reported: ReportedRateLimit,
  now: number,
): void {
  const { rateLimits } = rules.notices;
  const before = rateLimits.view(server, now);
  const change = rateLimits.record(server, reported, now);
  if (change === undefined) return;
  if (reported.type === 'invalid') {
    log.write('server-rate-limit-invalid', { server, text: reported.text, ...before });
    return;
  }
  const perSecond = reported.type === 'limit' ? reported.perSecond : undefined;
  log.write('server-rate-limit', { server, change, perSecond, ...before });
}

/**
 * Records how long a server stays cold, as its entry or one of its answers says, and logs when that is
 * new or cannot be read.
 */
export function recordCold(
  { clock, log, rules }: GatewayContext,
  { id, service }: ColdTarget,
  reported: ReportedCold,
  source: 'entry' | 'answer',
): void {
  const isNew = rules.cold.record(id, reported, service, clock.now());
  if (reported.type === 'invalid') {
    log.write('server-cold-invalid', { server: id, source, text: reported.text });
  } else if (isNew && reported.type === 'cold') {
    log.write('server-cold', { server: id, service, source, forMs: Math.round(reported.ms) });
  }
}
