/** Checks, from what callers and servers saw, that streams were never joined from two versions. */

import type { SeenRequest } from '../platform/fakeServer.js';
import type { SeenStream, StreamTry } from './soakStreams.js';
import { beginningOf } from './soakStreams.js';

/** Id of the last event of a stream. */
const LAST_EVENT = 4;
/** Streams taken up again from which their share counts. */
const MIN_TAKEN_UP = 12;
/** Servers of its version that must serve for a stream to count. */
const MIN_SERVERS = 2;
/** Milliseconds before a try in which its instance must have been undisturbed. */
const CALM_MS = 3_000;
/** Milliseconds before a try in which the servers must have served, so that instances list them. */
const LISTED_MS = 700;

/** Observations of one run. */
export interface StreamObservations {
  streams: readonly SeenStream[];
  arrivals: readonly SeenRequest[];
  /** Number of servers that served a version undisturbed during the whole time. */
  serving: (software: string, from: number, until: number) => number;
  /** Whether an instance was undisturbed during the whole time. */
  isCalm: (instance: string, from: number, until: number) => boolean;
}

export interface StreamReport {
  broken: string[];
  /** Streams that were taken up again under the conditions of the rule, and those that went on. */
  takenUp: number;
  wentOn: number;
}

/**
 * Returns the broken promises, one sentence each.
 *
 * @example
 * assert.deepEqual(checkStreams(seen).broken, []);
 */
export function checkStreams(seen: StreamObservations): StreamReport {
  const ran = new Set(
    seen.arrivals.filter((each) => each.ran).map(({ headers }) => String(headers['x-request-id'])),
  );
  const broken = seen.streams.flatMap((stream) => [
    ...joined(stream),
    ...untrueRefusals(stream, ran),
  ]);
  const { takenUp, wentOn, begun, began } = countShares(seen);
  const isTooFew = takenUp >= MIN_TAKEN_UP && wentOn * Math.max(1, begun) * 2 < takenUp * began;
  const share = `${String(wentOn)} of ${String(takenUp)} streams that were taken up again went on, ${String(began)} of ${String(begun)} new ones began`;
  return { broken: isTooFew ? [...broken, share] : broken, takenUp, wentOn };
}

function joined({ tries }: SeenStream): string[] {
  const events = tries.flatMap((each) => each.events);
  const name = tries.map(({ id }) => id).join(' ');
  const software = [...new Set(events.map((event) => event.software))];
  const ids = events.map(({ id }) => id);
  const isInOrder = ids.every((id, at) => id === at + 1);
  const isWhole = ids.length === LAST_EVENT;
  const saysWhole = tries.some(({ status, complete }) => status === 200 && complete);
  const foreign = tries.flatMap(({ id, events: own }) => {
    return own.flatMap(({ request = id }) =>
      request === id ? [] : [`${id} got events of ${request}`],
    );
  });
  return [
    ...new Set(foreign),
    ...(software.length > 1 ? [`${name} holds events of ${software.join(' and ')}`] : []),
    ...(isInOrder ? [] : [`${name} got events out of order: ${ids.join()}`]),
    ...(saysWhole && !isWhole ? [`${name} was ended as complete after ${ids.join()}`] : []),
  ];
}

function untrueRefusals({ tries }: SeenStream, ran: ReadonlySet<string>): string[] {
  return tries
    .filter(({ id, status, reason }) => status === 503 && reason === 'cannot-resume' && ran.has(id))
    .map(({ id }) => `${id} was refused as not run, and ran`);
}

interface Shares extends Pick<StreamReport, 'takenUp' | 'wentOn'> {
  /** New streams that were asked for, and those of which an event came. */
  begun: number;
  began: number;
}

function countShares(seen: StreamObservations): Shares {
  const shares: Shares = { takenUp: 0, wentOn: 0, begun: 0, began: 0 };
  for (const stream of seen.streams) {
    const first = beginningOf(stream);
    for (const each of stream.tries) {
      if (!seen.isCalm(each.instance, each.sentAt - CALM_MS, each.endedAt)) continue;
      const isNew = !first || each.sentAt <= first.sentAt;
      if (isNew) {
        shares.begun += 1;
        if (each.events.length > 0) shares.began += 1;
      } else if (isServed(first, each, seen)) {
        shares.takenUp += 1;
        if (each.events.length > 0) shares.wentOn += 1;
      }
    }
  }
  return shares;
}

function isServed(first: StreamTry, later: StreamTry, { serving }: StreamObservations): boolean {
  const software = first.events[0]?.software ?? '';
  return serving(software, later.sentAt - LISTED_MS, later.endedAt) >= MIN_SERVERS;
}
