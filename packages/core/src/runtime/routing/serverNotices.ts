/** What backend servers say of themselves in their answers, as one instance has heard it. */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { RandomSource } from '../../types/placement.js';
import type { RateLimitView, ToldRateLimit } from './serverRateLimits.js';
import type { ServerRateLimits } from './serverRateLimits.js';

/** One start of a server; what it says holds for this start only. */
export interface ServerStart {
  id: ServerId;
  /** The server's own time of start; undefined where its entry does not tell. */
  bornAt?: number | undefined;
}

/** How long a server wants to be left alone, as an answer tells it. */
export type ToldRest =
  | { type: 'none' }
  | { type: 'rest'; ms: number }
  /** Something else than one number of seconds. */
  | { type: 'invalid'; text: string };

/** What one answer says of its server. */
export interface ServerNotice {
  leaving: boolean;
  rest: ToldRest;
  rateLimit: ToldRateLimit;
}

/** How an answer changed what was known, for the log. */
export type NoticeChange = 'leaving' | 'rests' | 'rest-invalid' | 'back';

/** State of one server at a time, for the log. */
export interface NoticeView extends Partial<RateLimitView> {
  /** Milliseconds since it said that it leaves. */
  leavingMs?: number | undefined;
  /** Milliseconds that are left of its rest. */
  restMs?: number | undefined;
}

/** Longest rest that is taken at its word, in milliseconds; a longer one is most likely a mistake. */
const MAX_REST_MS = 600_000;
/** Part of a rest by which instances come back one after the other, and the most of it in milliseconds. */
const REST_SPREAD = 0.25;
const MAX_REST_SPREAD_MS = 1_000;
/** Milliseconds for which one request alone finds out whether a rest is really over. */
const TRY_MS = 500;
/** Milliseconds after a rest after which an instance that has not sent anything since goes on as usual. */
const FOUND_OUT_MS = 2_000;

interface KnownServer {
  bornAt: number | undefined;
  leavingSince: EpochMs | undefined;
  rest: Rest | undefined;
}

interface Rest {
  until: EpochMs;
  /** After the rest: until then a single request finds out whether it is really over. */
  triedUntil: EpochMs;
}

/**
 * Words of servers, by start: whether one leaves (never taken back by the same start), until when it wants to
 * rest, and its rate limit.
 *
 * @example
 * const notices = new ServerNotices(new ServerRateLimits(random), random);
 * const changes = notices.tell({ id: 'p1', bornAt }, dialect.notice(answer), now);
 * if (notices.nextAt({ id: 'p1', bornAt }, now) <= now) send();
 */
export class ServerNotices {
  readonly rateLimits: ServerRateLimits;
  readonly #random: RandomSource;
  readonly #servers = new Map<ServerId, KnownServer>();

  constructor(rateLimits: ServerRateLimits, random: RandomSource) {
    this.rateLimits = rateLimits;
    this.#random = random;
  }

  /** Takes in what an answer says of leaving and rest; see {@link ServerRateLimits.tell} for the limit. */
  tell(start: ServerStart, { leaving, rest }: ServerNotice, now: EpochMs): NoticeChange[] {
    const server = this.#of(start);
    const changes: NoticeChange[] = [];
    if (leaving && server.leavingSince === undefined) {
      server.leavingSince = now;
      changes.push('leaving');
    }
    if (rest.type === 'invalid') changes.push('rest-invalid');
    if (rest.type === 'rest' && this.#rest(server, rest.ms, now)) changes.push('rests');
    // an answer to an earlier request says nothing of a rest that was asked for since.
    if (rest.type === 'none' && server.rest && server.rest.until <= now) {
      server.rest = undefined;
      changes.push('back');
    }
    return changes;
  }

  /** Whether a server said that it leaves. */
  isLeaving(start: ServerStart): boolean {
    return this.#find(start)?.leavingSince !== undefined;
  }

  /** Milliseconds that are left of a server's rest; 0 where it does not rest. */
  restMs(start: ServerStart, now: EpochMs): number {
    const rest = this.#find(start)?.rest;
    return rest ? Math.max(0, rest.until - now, rest.triedUntil - now) : 0;
  }

  /** When this instance may send the next request to a server; never to one that leaves. */
  nextAt(start: ServerStart, now: EpochMs): EpochMs {
    if (this.isLeaving(start)) return Infinity;
    return Math.max(now + this.restMs(start, now), this.rateLimits.nextAt(start.id, now));
  }

  /** Counts whatever is sent to a server: requests, further attempts and questions for its status. */
  sent(start: ServerStart, now: EpochMs): void {
    this.rateLimits.take(start.id, now);
    const server = this.#find(start);
    if (!server?.rest) return;
    // an instance that returns late need not be held back: others have found out meanwhile.
    const isLongOver = now - server.rest.until > FOUND_OUT_MS;
    if (isLongOver) server.rest = undefined;
    else server.rest.triedUntil = now + TRY_MS;
  }

  /** The state of a server; undefined where it said nothing. */
  view(start: ServerStart, now: EpochMs): NoticeView | undefined {
    const server = this.#find(start);
    const limit = this.rateLimits.view(start.id, now);
    const { leavingSince, rest } = server ?? {};
    if (!limit && leavingSince === undefined && !rest) return undefined;
    return {
      ...limit,
      leavingMs: leavingSince === undefined ? undefined : Math.round(now - leavingSince),
      restMs: rest && Math.round(this.restMs(start, now)),
    };
  }

  /** How many servers leave, and rest, by their own word. */
  counts(now: EpochMs): { leaving: number; resting: number } {
    const servers = [...this.#servers.values()];
    return {
      leaving: servers.filter(({ leavingSince }) => leavingSince !== undefined).length,
      resting: servers.filter(({ rest }) => rest !== undefined && rest.until > now).length,
    };
  }

  /** Forgets servers that are neither listed nor said anything that may still hold. */
  retain(listed: ReadonlySet<ServerId>, now: EpochMs): void {
    this.rateLimits.retain(listed, now);
    for (const [id, { leavingSince = -Infinity, rest }] of this.#servers) {
      const isOver = Math.max(leavingSince + MAX_REST_MS, rest?.until ?? -Infinity) <= now;
      if (!listed.has(id) && isOver) this.#servers.delete(id);
    }
  }

  /** Returns whether the rest is new or longer than what was known. */
  #rest(server: KnownServer, ms: number, now: EpochMs): boolean {
    if (ms <= 0) return false;
    const bounded = Math.min(ms, MAX_REST_MS);
    const spreadMs = Math.min(REST_SPREAD * bounded, MAX_REST_SPREAD_MS);
    const until = now + bounded + spreadMs * this.#random();
    const before = server.rest?.until ?? -Infinity;
    server.rest = { until: Math.max(before, until), triedUntil: -Infinity };
    return before <= now;
  }

  #find({ id, bornAt }: ServerStart): KnownServer | undefined {
    const known = this.#servers.get(id);
    return known && isSameStart(known.bornAt, bornAt) ? known : undefined;
  }

  #of(start: ServerStart): KnownServer {
    const found = this.#find(start);
    if (found) return found;
    const created = { bornAt: start.bornAt, leavingSince: undefined, rest: undefined };
    const known = this.#servers.get(start.id);
    // a late answer of an earlier start says nothing of the one that runs now.
    const isLate = known !== undefined && (start.bornAt ?? 0) < (known.bornAt ?? 0);
    if (!isLate) this.#servers.set(start.id, created);
    return created;
  }
}

/** Whether two times of start may be of the same start; an entry need not tell one. */
function isSameStart(a: number | undefined, b: number | undefined): boolean {
  return a === undefined || b === undefined || a === b;
}
