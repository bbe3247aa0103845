/** Builds the log line of a finished request. */

import type { RouteTable, RoutedAccount } from '@flamingocourse/core';
import type { EventFields } from '@flamingocourse/kernel';
import type { CallHead } from '../types/call.js';
import type { Outcome } from '../types/outcome.js';
import type { IncomingCall } from '../types/requestRun.js';
import type { RequestFlow } from './requestFlow.js';
import { hasBegun } from '@flamingocourse/core';
import { placementFields } from '../runtime/placementFields.js';
import { sharedPartIds } from '../runtime/sharedParts.js';

/** A finished request. */
export interface EndedRequest {
  route: string;
  head: CallHead | undefined;
  incoming: IncomingCall;
  outcome: Outcome;
  /** Undefined if the request was refused before it ran. */
  flow?: RequestFlow;
  account?: RoutedAccount | undefined;
  table?: RouteTable;
  now: number;
}

/**
 * Returns the milliseconds from reading the request to the first event of a stream or the whole
 * response.
 */
export function doneAfterMs({ incoming: { answer, arrival }, now }: EndedRequest): number {
  return (answer.firstEventAt ?? now) - arrival.readAt;
}

/**
 * Returns the fields of the log line: inputs, their age, and the outcome.
 *
 * @param configAgeMs milliseconds since the store last confirmed the configuration; -1 if unknown.
 */
export function requestFields(ended: EndedRequest, configAgeMs = -1): EventFields {
  const { route, head, incoming, outcome, flow, account, table, now } = ended;
  const { answer, arrival, earlier, stoppingMs } = incoming;
  const progress = flow?.progress;
  const { readAt } = arrival;
  return {
    request: head?.id,
    route,
    account: account?.name,
    outcome: outcome.type,
    status: outcome.status,
    reason: outcome.refusal?.reason,
    run: outcome.refusal?.run,
    detail: outcome.detail ?? overloadDetail(outcome),
    fingerprint: outcome.refusal?.reason === 'quarantined' ? progress?.fingerprint : undefined,
    made: progress?.made,
    tried: progress?.tried.join(' ') ?? undefined,
    server: progress?.server,
    serverVersion: progress?.serverVersion,
    resumes: head?.resumes,
    resumeAfter: head?.resumeAfter,
    ...streamFields(ended),
    ...progress?.list,
    ...progress?.notice,
    ...placementFields(progress?.plan),
    prompt: head?.size?.prompt,
    parts: head && sharedPartIds(head),
    events: answer.events,
    pauseMs: Math.round(answer.longestPauseMs),
    charged: progress?.charged,
    unreadMs: Math.round(arrival.unreadMs),
    placedMs: sinceMs(readAt, progress?.placedAt),
    sentMs: sinceMs(readAt, progress?.sentAt),
    firstMs: Math.round(doneAfterMs(ended)),
    totalMs: Math.round(now - readAt),
    earlier,
    stoppingMs: stoppingMs === undefined ? undefined : Math.round(stoppingMs),
    version: table?.config.version,
    configAgeMs: Math.round(configAgeMs),
  };
}

/** Fields about the stream that a request belongs to; none if it belongs to none. */
function streamFields({ flow }: EndedRequest): EventFields {
  if (!flow) return {};
  const { software } = flow.progress;
  const { source, askedMs } = flow.stream;
  if (!hasBegun(software)) return {};
  const streamVersion = software.type === 'version' ? software.version : software.type;
  return { streamVersion, streamKnownBy: source, askedMs };
}

function sinceMs(from: number, at: number | undefined): number | undefined {
  return at === undefined ? undefined : Math.round(at - from);
}

/** Tells a refusal by an account's share from one by the queue. */
function overloadDetail({ refusal }: Outcome): string | undefined {
  return refusal?.reason === 'overloaded' ? refusal.detail : undefined;
}
