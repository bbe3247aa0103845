/** Checks that no caller lost a request or an answer to an instance that was only stopped. */

import type { SeenRequest } from '../platform/fakeServer.js';
import type { SeenAnswer } from './soakCallers.js';
import type { StopWindow } from './soakProcess.js';
import { USED_INSTANCE } from '../platform/fakeServer.js';

/** Milliseconds before a stop in which a kill or pause makes it no plain stop. */
const UNHARMED_BEFORE_MS = 3_000;
/** Milliseconds after the signal up to which a sent stream may be given up at the end. */
const STREAM_SENT_WITHIN_MS = 3_000;
/** Fraction of the grace period after which a running stream may be given up. */
const STREAM_END_FRACTION = 5 / 6;

/** Stops of one instance. */
export interface InstanceStops {
  name: string;
  stops: readonly StopWindow[];
  /** Times of the signals that killed, paused or continued the process. */
  harmedAt: readonly number[];
}

/** Time during which a server could not be reached. */
export interface CutWindow {
  server: string;
  /** Instance that did not reach it; undefined for all. */
  instance?: string;
  from: number;
  until: number;
}

/** A request as one server received it. */
export interface Arrival extends SeenRequest {
  server: string;
}

/** Observations around the stops of a run. */
export interface StopObservations {
  answers: readonly SeenAnswer[];
  arrivals: readonly Arrival[];
  instances: readonly InstanceStops[];
  cuts: readonly CutWindow[];
  graceMs: number;
}

/** Result of the check. */
export interface StopReport {
  /** Number of requests that reached a server and met a plain stop. */
  checked: number;
  /** Broken promises, one sentence each. */
  broken: string[];
}

interface StoppedRequest {
  answer: SeenAnswer;
  stop: StopWindow;
  arrivals: readonly Arrival[];
}

/**
 * Checks each request that was sent or ran between the signal and the exit of an instance.
 *
 * @example
 * const { broken } = checkStops(seen);
 * assert.deepEqual(broken, []);
 */
export function checkStops(seen: StopObservations): StopReport {
  const arrivals = arrivalsById(seen.arrivals);
  const requests = seen.answers.flatMap((answer): StoppedRequest[] => {
    const stop = plainStopOf(answer, seen.instances);
    return stop ? [{ answer, stop, arrivals: arrivals.get(answer.id) ?? [] }] : [];
  });
  return {
    checked: requests.filter((request) => request.arrivals.length > 0).length,
    broken: requests
      .filter((request) => isLost(request) && !isExcused(request, seen))
      .map(describe),
  };
}

function arrivalsById(arrivals: readonly Arrival[]): Map<string, Arrival[]> {
  const byId = new Map<string, Arrival[]>();
  for (const arrival of arrivals) {
    if (arrival.headers[USED_INSTANCE] === undefined) continue;
    const id = String(arrival.headers['x-request-id']);
    byId.set(id, [...(byId.get(id) ?? []), arrival]);
  }
  return byId;
}

/** The stop that a request met, unless the instance was also killed or paused. */
function plainStopOf(
  { instance, sentAt, endedAt }: SeenAnswer,
  instances: readonly InstanceStops[],
): StopWindow | undefined {
  const { stops = [], harmedAt = [] } = instances.find(({ name }) => name === instance) ?? {};
  const stop = stops.find(({ at, exitedAt }) => sentAt <= exitedAt && endedAt >= at);
  if (!stop) return undefined;
  const isHarmed = harmedAt.some((at) => at >= stop.at - UNHARMED_BEFORE_MS && at <= stop.exitedAt);
  return isHarmed ? undefined : stop;
}

/** Whether a request reached a server and got no whole answer, or an answer began and was cut off. */
function isLost({ answer, arrivals }: StoppedRequest): boolean {
  return !answer.complete && (arrivals.length > 0 || answer.status !== 0);
}

function isExcused(request: StoppedRequest, { cuts, graceMs }: StopObservations): boolean {
  const { answer, arrivals } = request;
  if (answer.left || arrivals.some(({ broke }) => broke)) return true;
  return mayBeGivenUp(request, graceMs) || (answer.status !== 0 && wasCutOff(request, cuts));
}

/** Whether the request is a stream that was sent early and still ran at the end of the grace period. */
function mayBeGivenUp({ answer, stop, arrivals }: StoppedRequest, graceMs: number): boolean {
  const isStream = answer.kind === 'chat' || answer.kind === 'draft';
  if (!isStream || answer.sentAt > stop.at + STREAM_SENT_WITHIN_MS) return false;
  const lastSixthAt = stop.at + graceMs * STREAM_END_FRACTION;
  return arrivals.some(({ endedAt = Infinity }) => endedAt >= lastSixthAt);
}

/** Whether a server was cut off in the middle of its answer, which nobody can then deliver whole. */
function wasCutOff({ answer, arrivals }: StoppedRequest, cuts: readonly CutWindow[]): boolean {
  return arrivals.some((arrival) =>
    cuts.some(({ server, instance = answer.instance, from, until }) => {
      if (instance !== answer.instance) return false;
      return server === arrival.server && from <= answer.endedAt && until >= arrival.at;
    }),
  );
}

function describe({ answer, stop, arrivals }: StoppedRequest): string {
  const { id, kind, instance, status, sentAt, endedAt } = answer;
  const after = (at: number): string => String(Math.round(at - stop.at));
  const servers = arrivals
    .map(({ server, at, endedAt = Infinity }) => `${server} from ${after(at)} to ${after(endedAt)}`)
    .join(', ');
  const outcome = status === 0 ? 'got no answer' : `got a part of an answer ${String(status)}`;
  return `${id} (${kind}), sent ${after(sentAt)} ms after SIGTERM to ${instance}, reached ${servers || 'no server'} and ${outcome}, closed at ${after(endedAt)}`;
}
