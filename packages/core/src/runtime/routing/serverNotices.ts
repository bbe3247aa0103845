/** What backend servers say of themselves in their answers, as one instance has heard it. */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { RandomSource } from './serverChooser.js';
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
  /** Not before then; in the past while a single request finds out. */
  restUntil: EpochMs | undefined;
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
    if (rest.type === 'none' && server.restUntil !== undefined && server.restUntil <= now) {
      server.restUntil = undefined;
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
    return Math.max(0, (this.#find(start)?.restUntil ?? now) - now);
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
    if (server?.restUntil === undefined) return;
    // an instance that returns late need not be held back: others have found out meanwhile.
    const isLongOver = now - server.restUntil > FOUND_OUT_MS;
    server.restUntil = isLongOver ? undefined : Math.max(server.restUntil, now + TRY_MS);
  }

  /** The state of a server; undefined where it said nothing. */
  view(start: ServerStart, now: EpochMs): NoticeView | undefined {
    const server = this.#find(start);
    const limit = this.rateLimits.view(start.id, now);
    const { leavingSince, restUntil } = server ?? {};
    if (!limit && leavingSince === undefined && restUntil === undefined) return undefined;
    return {
      ...limit,
      leavingMs: leavingSince === undefined ? undefined : Math.round(now - leavingSince),
      restMs: restUntil === undefined ? undefined : Math.round(this.restMs(start, now)),
    };
  }

  /** How many servers leave, and rest, by their own word. */
  counts(now: EpochMs): { leaving: number; resting: number } {
    const servers = [...this.#servers.values()];
    return {
      leaving: servers.filter(({ leavingSince }) => leavingSince !== undefined).length,
      resting: servers.filter(({ restUntil }) => restUntil !== undefined && restUntil > now).length,
    };
  }

  /** Forgets servers that are neither listed nor said anything that may still hold. */
  retain(listed: ReadonlySet<ServerId>, now: EpochMs): void {
    this.rateLimits.retain(listed, now);
    for (const [id, { leavingSince = -Infinity, restUntil = -Infinity }] of this.#servers) {
      const isOver = Math.max(leavingSince + MAX_REST_MS, restUntil) <= now;
      if (!listed.has(id) && isOver) this.#servers.delete(id);
    }
  }

  /** Returns whether the rest is new or longer than what was known. */
  #rest(server: KnownServer, ms: number, now: EpochMs): boolean {
    if (ms <= 0) return false;
    const bounded = Math.min(ms, MAX_REST_MS);
    const spreadMs = Math.min(REST_SPREAD * bounded, MAX_REST_SPREAD_MS);
    const until = now + bounded + spreadMs * this.#random();
    const isNew = server.restUntil === undefined || server.restUntil <= now;
    server.restUntil = Math.max(server.restUntil ?? 0, until);
    return isNew;
  }

  #find({ id, bornAt }: ServerStart): KnownServer | undefined {
    const known = this.#servers.get(id);
    return known && isSameStart(known.bornAt, bornAt) ? known : undefined;
  }

  #of(start: ServerStart): KnownServer {
    const found = this.#find(start);
    if (found) return found;
    const created = { bornAt: start.bornAt, leavingSince: undefined, restUntil: undefined };
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
