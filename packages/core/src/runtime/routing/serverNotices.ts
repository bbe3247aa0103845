/** Status that backend servers report in their answers, as received by one instance. */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { RandomSource } from '../../types/placement.js';
import type { BrittlenessChange, BrittlenessView, ReportedBrittleness } from './brittleServers.js';
import type { ReportedCold } from './coldServers.js';
import type { RateLimitView, ReportedRateLimit } from './serverRateLimits.js';
import type { ServerRateLimits } from './serverRateLimits.js';
import { BrittleServers } from './brittleServers.js';

/** One incarnation of a server; what it reports applies to this incarnation only. */
export interface ServerIncarnation {
  id: ServerId;
  /** Start time by the server's own clock; undefined if its entry does not contain it. */
  bornAt?: number | undefined;
  /** Number of requests that it runs concurrently; undefined if its entry does not contain it. */
  slots?: number | undefined;
}

/** Pause that a server requests in an answer, during which it accepts no requests. */
export type RequestedPause =
  | { type: 'none' }
  | { type: 'rest'; ms: number }
  /** The value is not a single number of seconds. */
  | { type: 'invalid'; text: string };

/** Status of a server, as reported in one answer. */
export interface ServerNotice {
  leaving: boolean;
  rest: RequestedPause;
  rateLimit: ReportedRateLimit;
  brittle: ReportedBrittleness;
  /** How much longer it stays cold. */
  cold: ReportedCold;
  /** Whether the server rejected the request for want of room. */
  rejected: boolean;
}

/** Change of the known status caused by an answer, for the log. `rests` means a requested pause. */
export type NoticeChange = 'leaving' | 'rests' | 'rest-invalid' | 'back' | BrittlenessChange;

/** Status of one server at a given time, for the log. */
export interface NoticeView extends Partial<RateLimitView>, Partial<BrittlenessView> {
  /** Milliseconds since it reported that it is leaving. */
  leavingMs?: number | undefined;
  /** Remaining milliseconds of its pause. */
  restMs?: number | undefined;
}

/** Maximum accepted pause, in milliseconds; a longer one is most likely a mistake. */
const MAX_PAUSE_MS = 600_000;
/**
 * Jitter added to a pause, so that instances return one after the other: a fraction of the pause,
 * and its maximum in milliseconds.
 */
const PAUSE_JITTER = 0.25;
const MAX_PAUSE_JITTER_MS = 1_000;
/** Milliseconds for which a single request tests whether a pause has really ended. */
const PAUSE_TEST_MS = 500;
/** Milliseconds after the end of a pause after which an instance sends no test request. */
const PAUSE_TESTED_MS = 2_000;

interface KnownServer {
  bornAt: number | undefined;
  leavingSince: EpochMs | undefined;
  rest: Pause | undefined;
}

interface Pause {
  until: EpochMs;
  /** Time until which a single request, sent after the pause, tests whether it has really ended. */
  testedUntil: EpochMs;
}

/**
 * Status reported by servers, by incarnation: whether a server is leaving (which the same
 * incarnation never revokes), until when it requests a pause, its rate limit, and how many
 * rejections it survives.
 *
 * @example
 * const notices = new ServerNotices(new ServerRateLimits(random), random);
 * const changes = notices.record({ id: 'p1', bornAt }, dialect.notice(answer), now);
 * if (notices.nextAt({ id: 'p1', bornAt }, now) <= now) send();
 */
export class ServerNotices {
  readonly rateLimits: ServerRateLimits;
  readonly brittle: BrittleServers;
  readonly #random: RandomSource;
  readonly #servers = new Map<ServerId, KnownServer>();

  constructor(rateLimits: ServerRateLimits, random: RandomSource) {
    this.rateLimits = rateLimits;
    this.brittle = new BrittleServers(random, () => rateLimits.sharers);
    this.#random = random;
  }

  /**
   * Records what an answer reports about leaving, pauses and brittleness. Rate limits are recorded
   * separately, by {@link ServerRateLimits.record}.
   */
  record(
    incarnation: ServerIncarnation,
    { leaving, rest, brittle, rejected }: ServerNotice,
    now: EpochMs,
  ): NoticeChange[] {
    const server = this.#getOrCreate(incarnation);
    const changes: NoticeChange[] = this.brittle.record(incarnation, brittle, rejected, now);
    if (leaving && server.leavingSince === undefined) {
      server.leavingSince = now;
      changes.push('leaving');
    }
    if (rest.type === 'invalid') changes.push('rest-invalid');
    if (rest.type === 'rest' && this.#recordPause(server, rest.ms, now)) changes.push('rests');
    // an answer received during a pause may belong to an earlier request and does not end the
    // pause.
    if (rest.type === 'none' && server.rest && server.rest.until <= now) {
      server.rest = undefined;
      changes.push('back');
    }
    return changes;
  }

  /** Whether a server reported that it is leaving. */
  isLeaving(incarnation: ServerIncarnation): boolean {
    return this.#find(incarnation)?.leavingSince !== undefined;
  }

  /** Remaining milliseconds of a server's pause; 0 if there is none. */
  restMs(incarnation: ServerIncarnation, now: EpochMs): number {
    const rest = this.#find(incarnation)?.rest;
    return rest ? Math.max(0, rest.until - now, rest.testedUntil - now) : 0;
  }

  /** When this instance may send the next request to a server; never to one that is leaving. */
  nextAt(incarnation: ServerIncarnation, now: EpochMs): EpochMs {
    if (this.isLeaving(incarnation)) return Infinity;
    return Math.max(
      now + this.restMs(incarnation, now),
      this.rateLimits.nextAt(incarnation.id, now),
      this.brittle.nextAt(incarnation, now),
    );
  }

  /** Records anything sent to a server: requests, retries and status probes. */
  recordSent(incarnation: ServerIncarnation, now: EpochMs): void {
    this.rateLimits.take(incarnation.id, now);
    const server = this.#find(incarnation);
    if (!server?.rest) return;
    // an instance that returns late needs no test request: others have tested the server already.
    const isLongOver = now - server.rest.until > PAUSE_TESTED_MS;
    if (isLongOver) server.rest = undefined;
    else server.rest.testedUntil = now + PAUSE_TEST_MS;
  }

  /** Status of a server; undefined if it has reported nothing. */
  view(incarnation: ServerIncarnation, now: EpochMs): NoticeView | undefined {
    const server = this.#find(incarnation);
    const limit = this.rateLimits.view(incarnation.id, now);
    const { leavingSince, rest } = server ?? {};
    const brittle = this.brittle.view(incarnation, now);
    if (!limit && !brittle && leavingSince === undefined && !rest) return undefined;
    return {
      ...limit,
      ...brittle,
      leavingMs: leavingSince === undefined ? undefined : Math.round(now - leavingSince),
      restMs: rest && Math.round(this.restMs(incarnation, now)),
    };
  }

  /** Number of servers that reported that they are leaving, and of servers in a requested pause. */
  counts(now: EpochMs): { leaving: number; resting: number } {
    const servers = [...this.#servers.values()];
    return {
      leaving: servers.filter(({ leavingSince }) => leavingSince !== undefined).length,
      resting: servers.filter(({ rest }) => rest !== undefined && rest.until > now).length,
    };
  }

  /** Removes unlisted servers of which no reported status can still apply. */
  retain(listed: ReadonlySet<ServerId>, now: EpochMs): void {
    this.rateLimits.retain(listed, now);
    this.brittle.retain(listed, now);
    for (const [id, { leavingSince = -Infinity, rest }] of this.#servers) {
      const isOver = Math.max(leavingSince + MAX_PAUSE_MS, rest?.until ?? -Infinity) <= now;
      if (!listed.has(id) && isOver) this.#servers.delete(id);
    }
  }

  /** Records a requested pause. Returns whether the server was not in a pause before. */
  #recordPause(server: KnownServer, ms: number, now: EpochMs): boolean {
    if (ms <= 0) return false;
    const bounded = Math.min(ms, MAX_PAUSE_MS);
    const maxJitterMs = Math.min(PAUSE_JITTER * bounded, MAX_PAUSE_JITTER_MS);
    const until = now + bounded + maxJitterMs * this.#random();
    const before = server.rest?.until ?? -Infinity;
    server.rest = { until: Math.max(before, until), testedUntil: -Infinity };
    return before <= now;
  }

  #find({ id, bornAt }: ServerIncarnation): KnownServer | undefined {
    const known = this.#servers.get(id);
    return known && canBeSameStart(known.bornAt, bornAt) ? known : undefined;
  }

  #getOrCreate(incarnation: ServerIncarnation): KnownServer {
    const found = this.#find(incarnation);
    if (found) return found;
    const created = { bornAt: incarnation.bornAt, leavingSince: undefined, rest: undefined };
    const known = this.#servers.get(incarnation.id);
    // a late answer of an earlier incarnation does not apply to the current one.
    const isLate = known !== undefined && (incarnation.bornAt ?? 0) < (known.bornAt ?? 0);
    if (!isLate) this.#servers.set(incarnation.id, created);
    return created;
  }
}

/** Whether two start times can belong to the same incarnation; an undefined one matches any. */
function canBeSameStart(a: number | undefined, b: number | undefined): boolean {
  return a === undefined || b === undefined || a === b;
}
