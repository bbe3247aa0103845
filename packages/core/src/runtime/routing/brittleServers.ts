/** Servers that fail when they must reject too many requests, as known to one instance. */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { RandomSource } from '../../types/placement.js';
import type { ServerIncarnation } from './serverNotices.js';

/** What an answer reports about how many rejections its server survives. */
export type ReportedBrittleness =
  | { type: 'none' }
  /** Maximum rejections for want of room in one second that the server survives. */
  | { type: 'brittle'; rejectionsPerSecond: number }
  /** The value is not a single decimal number. */
  | { type: 'invalid'; text: string };

/** Change of what is known about a brittle server, for the log. */
export type BrittlenessChange =
  'brittle' | 'brittle-changed' | 'brittle-ended' | 'brittle-invalid' | 'brittle-full';

/** What is known about a brittle server at a given time, for the log. */
export interface BrittlenessView {
  /** Rejections per second that the server survives. */
  brittlePerSecond: number;
  /** Remaining milliseconds in which this instance sends it nothing. */
  brittlePauseMs: number;
}

const MS_PER_SECOND = 1_000;
/** Minimum pause after a rejection, in milliseconds. */
const MIN_PAUSE_MS = 500;
/** Maximum pause after a rejection, in milliseconds. */
const MAX_PAUSE_MS = 60_000;
/** Maximum growth of a pause by further rejections, as a multiple. */
const MAX_PAUSE_GROWTH = 4;
/** Jitter added to a pause, as a fraction of it. */
const PAUSE_JITTER = 1;
/** Own rejections in a second after which a server is left out, as a fraction of the own part. */
const LEFT_OUT_FRACTION = 0.5;
/**
 * Fraction of the survived rejections that all instances together cause on average. In a single
 * second there may be several times as many, because no instance knows when the others send.
 */
const USED_FRACTION = 0.2;
/** Minimum rejections per second with which the pauses are computed. */
const MIN_PER_SECOND = 0.1;
/** Number of instances assumed while the real number is unknown. */
const DEFAULT_SHARERS = 16;
/** Age at which an unlisted server is removed, in milliseconds. */
const FORGET_MS = 600_000;

interface KnownServer {
  bornAt: number | undefined;
  slots: number | undefined;
  /** Undefined if the server is not brittle. */
  perSecond: number | undefined;
  /** Whether it has not answered yet and counts as brittle because others are. */
  isAssumed: boolean;
  /** Whether the last reported value could not be parsed. */
  isInvalid: boolean;
  reportedAt: EpochMs;
  /** Time until which this instance sends it nothing. */
  pausedUntil: EpochMs;
  /** Pauses since an answer last showed room. */
  pauses: number;
  /**
   * Number from 0 (included) to 1 (excluded) that is added to the share before it is rounded down,
   * so that the shares of all instances add up to about all slots; 0 after a rejection.
   */
  roundUp: number;
  /** Whether no answer has shown room since the start of the server or the last rejection. */
  isTesting: boolean;
  /** Times of the own rejections in the last second. */
  rejections: EpochMs[];
}

/**
 * Brittle servers by incarnation, and how much this instance may send to each. No instance knows
 * what the others send, so each uses its share of the slots, and after a rejection it waits so long
 * that the rejections of all instances together stay below what the server survives.
 *
 * @example
 * const brittle = new BrittleServers(Math.random, () => 8);
 * brittle.record({ id: 'p1', bornAt }, { type: 'brittle', rejectionsPerSecond: 5 }, false, now);
 * const most = brittle.maxInFlight({ id: 'p1', bornAt }, 6, now); // 1
 * if (brittle.nextAt({ id: 'p1', bornAt }, now) <= now) send();
 */
export class BrittleServers {
  readonly #random: RandomSource;
  readonly #sharers: () => number | undefined;
  /** All servers that have answered or could be chosen. */
  readonly #servers = new Map<ServerId, KnownServer>();
  readonly #brittle = new Set<ServerId>();

  /** @param sharers Number of instances, including this one; undefined while unknown. */
  constructor(random: RandomSource, sharers: () => number | undefined) {
    this.#random = random;
    this.#sharers = sharers;
  }

  /** Number of servers that report that they are brittle. */
  get size(): number {
    return [...this.#brittle].filter((id) => !this.#servers.get(id)?.isAssumed).length;
  }

  get #instances(): number {
    return this.#sharers() ?? DEFAULT_SHARERS;
  }

  /**
   * Records an answer of a server.
   *
   * @param rejected Whether the server rejected the request for want of room.
   */
  record(
    incarnation: ServerIncarnation,
    reported: ReportedBrittleness,
    rejected: boolean,
    now: EpochMs,
  ): BrittlenessChange[] {
    if (this.#isLate(incarnation)) return [];
    const server = this.#find(incarnation) ?? this.#create(incarnation, now);
    server.reportedAt = now;
    const change = this.#learn(incarnation.id, server, reported);
    if (change === 'brittle' && this.#isSurplus(server)) this.#pause(server, now);
    const changes = change === undefined ? [] : [change];
    if (server.perSecond === undefined) return changes;
    if (rejected) return this.#recordRejected(server, now) ? [...changes, 'brittle-full'] : changes;
    // an answer received during a pause may belong to an earlier request and shows no room.
    if (server.pausedUntil <= now) this.#recordRoom(server);
    return changes;
  }

  /**
   * Maximum requests of this instance that may be in flight at a server; undefined if the server is
   * not brittle. It is 1 until an answer has shown room.
   *
   * @param slots Requests that the server can run at once.
   */
  maxInFlight(incarnation: ServerIncarnation, slots: number, now: EpochMs): number | undefined {
    const server = this.#observe(incarnation, now);
    if (server?.perSecond === undefined) return undefined;
    if (server.isTesting) return 1;
    return Math.max(1, Math.floor(slots / this.#instances + server.roundUp));
  }

  /** When this instance may send the next request to a server; `now` if at once. */
  nextAt(incarnation: ServerIncarnation, now: EpochMs): EpochMs {
    const server = this.#observe(incarnation, now);
    return server?.perSecond === undefined ? now : Math.max(now, server.pausedUntil);
  }

  /** What is known about a server; undefined if it is not brittle. */
  view(incarnation: ServerIncarnation, now: EpochMs): BrittlenessView | undefined {
    const server = this.#find(incarnation);
    if (server?.perSecond === undefined) return undefined;
    const brittlePauseMs = Math.round(Math.max(0, server.pausedUntil - now));
    return { brittlePerSecond: server.perSecond, brittlePauseMs };
  }

  /** Removes unlisted servers that have not answered for a long time. */
  retain(listed: ReadonlySet<ServerId>, now: EpochMs): void {
    for (const [id, { reportedAt }] of this.#servers) {
      if (listed.has(id) || now - reportedAt <= FORGET_MS) continue;
      this.#servers.delete(id);
      this.#brittle.delete(id);
    }
  }

  #learn(
    id: ServerId,
    server: KnownServer,
    reported: ReportedBrittleness,
  ): BrittlenessChange | undefined {
    if (reported.type === 'invalid') {
      const isNew = !server.isInvalid;
      server.isInvalid = true;
      return isNew ? 'brittle-invalid' : undefined;
    }
    server.isInvalid = false;
    const before = server.isAssumed ? undefined : server.perSecond;
    server.isAssumed = false;
    server.perSecond = reported.type === 'none' ? undefined : reported.rejectionsPerSecond;
    if (server.perSecond === undefined) this.#end(id, server);
    else this.#brittle.add(id);
    if (server.perSecond === before) return undefined;
    if (server.perSecond === undefined) return 'brittle-ended';
    return before === undefined ? 'brittle' : 'brittle-changed';
  }

  #end(id: ServerId, server: KnownServer): void {
    this.#brittle.delete(id);
    this.#recordRoom(server);
    server.pausedUntil = -Infinity;
  }

  /** Returns whether a new pause begins. */
  #recordRejected(server: KnownServer, now: EpochMs): boolean {
    const recent = server.rejections.filter((at) => now - at < MS_PER_SECOND);
    server.rejections = [...recent, now];
    server.roundUp = 0;
    const isNew = server.pausedUntil <= now;
    if (isNew) this.#pause(server, now);
    const part = Math.max(1, (server.perSecond ?? 0) / this.#instances);
    if (server.rejections.length >= LEFT_OUT_FRACTION * part) {
      server.pausedUntil = Math.max(server.pausedUntil, now + MS_PER_SECOND);
    }
    return isNew;
  }

  /** Whether this instance is one of those for which the server has no slot, chosen at random. */
  #isSurplus({ slots = this.#instances }: KnownServer): boolean {
    return this.#random() >= slots / this.#instances;
  }

  #pause(server: KnownServer, now: EpochMs): void {
    server.pausedUntil = now + this.#pauseMs(server);
    server.pauses += 1;
    server.isTesting = true;
  }

  #recordRoom(server: KnownServer): void {
    server.isTesting = false;
    server.pauses = 0;
  }

  #pauseMs(server: KnownServer): number {
    const growth = Math.min(2 ** server.pauses, MAX_PAUSE_GROWTH);
    const pauseMs = Math.min(MAX_PAUSE_MS, this.#spreadMs(server) * growth);
    return pauseMs * (1 + PAUSE_JITTER * this.#random());
  }

  /**
   * Milliseconds over which the instances spread their requests, so that the server survives a
   * rejection of each instance that finds no free slot.
   */
  #spreadMs({ perSecond = 0, slots = 0 }: KnownServer): number {
    const rejected = Math.max(0, this.#instances - slots);
    const perMs = (USED_FRACTION * Math.max(perSecond, MIN_PER_SECOND)) / MS_PER_SECOND;
    return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, rejected / perMs));
  }

  /** State of a server; one that is new while any server is brittle counts as brittle. */
  #observe(incarnation: ServerIncarnation, now: EpochMs): KnownServer | undefined {
    const found = this.#find(incarnation);
    if (found || this.#isLate(incarnation)) return found;
    const perSecond = this.#leastSurvived();
    const server = this.#create(incarnation, now);
    if (perSecond === undefined) return server;
    Object.assign(server, { perSecond, isAssumed: true } satisfies Partial<KnownServer>);
    // instances begin one after the other, as all of them learn of the server at the same time.
    server.pausedUntil = now + this.#random() * this.#spreadMs(server);
    this.#brittle.add(incarnation.id);
    return server;
  }

  #leastSurvived(): number | undefined {
    if (this.#brittle.size === 0) return undefined;
    const known = [...this.#brittle].map((id) => this.#servers.get(id)?.perSecond ?? Infinity);
    return Math.min(...known);
  }

  #create({ id, bornAt, slots }: ServerIncarnation, now: EpochMs): KnownServer {
    const created: KnownServer = {
      bornAt,
      slots,
      perSecond: undefined,
      isAssumed: false,
      isInvalid: false,
      reportedAt: now,
      pausedUntil: -Infinity,
      pauses: 0,
      roundUp: this.#random(),
      isTesting: true,
      rejections: [],
    };
    this.#servers.set(id, created);
    this.#brittle.delete(id);
    return created;
  }

  #find({ id, bornAt }: ServerIncarnation): KnownServer | undefined {
    const known = this.#servers.get(id);
    if (!known) return undefined;
    const isSame = known.bornAt === undefined || bornAt === undefined || known.bornAt === bornAt;
    return isSame ? known : undefined;
  }

  /** Whether this is an earlier incarnation than the known one. */
  #isLate({ id, bornAt = 0 }: ServerIncarnation): boolean {
    const known = this.#servers.get(id);
    return known?.bornAt !== undefined && bornAt > 0 && bornAt < known.bornAt;
  }
}
