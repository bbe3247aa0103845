/**
 * Table of the backend servers of one service at one router. It decides which servers may get new
 * work; a {@link ServerChooser} picks among them.
 */

import type { DataCentreId, EpochMs, ServerId } from '../../types/ids.js';
import type { BackendServer } from '../../types/member.js';
import type { AttemptResult, Candidate, CandidateQuery } from '../../types/placement.js';
import type { ConcurrencyLimit, ConcurrencyLimitKind } from './concurrencyLimit.js';
import type { LoadReport } from './loadEstimate.js';
import type { HealthSettings } from './serverHealth.js';
import type { RateLimitPace } from './serverRateLimits.js';
import { rendezvousRank } from '../../utils/hash.js';
import { createConcurrencyLimit } from './concurrencyLimit.js';
import { defaultHealthSettings } from './serverHealth.js';
import { ServerEntry } from './serverEntry.js';
import { ServerNotices } from './serverNotices.js';
import { ServerRateLimits } from './serverRateLimits.js';

/** Options of a pool. */
export interface ServerPoolOptions {
  /** Data centre of this router. */
  dataCentre: DataCentreId;
  /** Requests that one server takes at once, as declared. */
  concurrencyPerServer: number;
  /** @default 'aimd' */
  limitKind?: ConcurrencyLimitKind;
  /** Routers that share the servers of this data centre, self included. @default 1 */
  sharers?: number;
  health?: Partial<HealthSettings>;
  /** What servers have said of themselves. @default nothing */
  notices?: ServerNotices;
}

/** How many places a request may use; see the admission's reserve. */
export interface PlacementRule {
  /** Part of all places that must stay free, from 0 to 1. */
  keptFree: number;
  /** Part of a server's places that may be used beyond its limit, from 0 to 1. */
  extra: number;
}

/** Share of the pool that may be ejected at once. */
const MAX_EJECTED_SHARE = 0.5;
/** How long a server is kept free for a request that has to run alone, in milliseconds. */
const HOLD_MS = 5_000;

/**
 * Backend servers of one service.
 *
 * @example
 * const pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer: 8 });
 * pool.applyList(servers, now);
 * const candidates = pool.candidates({ tried }, now);
 * const attempt = pool.dispatch(candidates[0].id, now);
 * pool.settle(attempt, { end: 'ok', firstTokenMs: 120, targetMs: 500 }, now);
 */
export class ServerPool {
  readonly #entries = new Map<ServerId, ServerEntry>();
  readonly #attempts = new Map<number, ServerEntry>();
  readonly #drained = new Set<ServerId>();
  readonly #options: ServerPoolOptions;
  readonly #health: HealthSettings;
  /** One for all servers: each alone sees too few answers to adapt in time. */
  readonly #limit: ConcurrencyLimit;
  readonly #notices: ServerNotices;
  readonly #rateLimits: ServerRateLimits;
  #sharers: number;
  #subset: ReadonlySet<ServerId> | undefined;
  #nextAttempt = 1;
  #heldServer: { entry: ServerEntry; until: EpochMs } | undefined;

  constructor(options: ServerPoolOptions) {
    this.#options = options;
    this.#health = { ...defaultHealthSettings, ...options.health };
    this.#sharers = options.sharers ?? 1;
    this.#notices = options.notices ?? new ServerNotices(new ServerRateLimits(() => 0), () => 0);
    this.#rateLimits = this.#notices.rateLimits;
    const bounds = { max: options.concurrencyPerServer };
    this.#limit = createConcurrencyLimit(options.limitKind ?? 'aimd', bounds);
  }

  /** Servers that are listed, or still have attempts in flight. */
  get servers(): BackendServer[] {
    return [...this.#entries.values()].map((entry) => entry.server);
  }

  /** Finds one server without listing all; `undefined` once it is gone from the list. */
  server(id: ServerId): BackendServer | undefined {
    return this.#entries.get(id)?.server;
  }

  /** Sets how many routers share the servers, self included. */
  setSharers(count: number): void {
    this.#sharers = Math.max(1, count);
  }

  /** Restricts new work to some of the servers; `undefined` lifts the restriction. */
  setSubset(ids: ReadonlySet<ServerId> | undefined): void {
    this.#subset = ids;
  }

  /**
   * Takes in a state of the instance list.
   *
   * The list lags. A server that said itself that it leaves stays out while the list still shows it
   * as live; otherwise each refresh would send new work to a server that refuses it. The mark falls
   * only once the list has the server gone, or shows another instance (another URL or time of start) under its id.
   */
  applyList(servers: BackendServer[], now: EpochMs): void {
    const listed = new Set<ServerId>();
    for (const server of servers) {
      listed.add(server.id);
      const known = this.#entries.get(server.id);
      const sameLife = known?.server.url === server.url && known.server.bornAt === server.bornAt;
      if (sameLife) known.update(server, now);
      else this.#entries.set(server.id, this.#createEntry(server, now));
    }
    for (const [id, entry] of this.#entries) {
      if (listed.has(id)) continue;
      // attempts in flight keep their own reference to the entry, so they still settle.
      entry.listed = false;
      this.#entries.delete(id);
    }
  }

  /** Marks a server that said itself that it leaves. */
  markLeaving(id: ServerId): void {
    const entry = this.#entries.get(id);
    if (entry) entry.saidLeaving = true;
  }

  /** Starts or ends an operator's drain of a server; holds whatever the list says. */
  setDrained(id: ServerId, drained: boolean): void {
    if (drained) this.#drained.add(id);
    else this.#drained.delete(id);
  }

  /** Takes in a load report. */
  reportLoad(id: ServerId, report: LoadReport, now: EpochMs): void {
    this.#entries.get(id)?.load.report(report, now);
  }

  /** Takes in how fast a server made events in the quickest stretch of a stream. */
  observePace(id: ServerId, quickestMs: number): void {
    this.#entries.get(id)?.pace.observe(quickestMs);
  }

  /**
   * The server that most likely has read a prompt, as far as hashing tells: the first in rendezvous order
   * of those that can be reached. Other instances have sent requests with the same prompt there.
   *
   * @param except servers that are not asked for.
   */
  likelyHolder(
    prefixHash: number,
    except: ReadonlySet<ServerId>,
    now: EpochMs,
  ): BackendServer | undefined {
    const others = [...this.#entries.values()].filter((entry) => {
      return !except.has(entry.server.id) && !this.#isLeaving(entry) && entry.reachable(now);
    });
    const [first, ...rest] = others;
    if (!first) return undefined;
    const rank = ({ idHash }: ServerEntry): number => rendezvousRank(prefixHash, idHash);
    return rest.reduce((best, next) => (rank(next) > rank(best) ? next : best), first).server;
  }

  /** Whether a server can be asked for a copy of a prompt, as far as is known; not one that left the list. */
  canCopyFrom(id: ServerId, now: EpochMs): boolean {
    const entry = this.#entries.get(id);
    return entry !== undefined && entry.reachable(now) && !this.#isLeaving(entry);
  }

  /** Servers with room for one more request, own data centre or not. */
  candidates(query: CandidateQuery, now: EpochMs): Candidate[] {
    this.#releaseExpiredHold(now);
    const open = this.#openEntries(now).filter((entry) => {
      return !query.tried?.has(entry.server.id) && this.#maySend(entry, now);
    });
    if (query.exclusive) return this.#exclusiveCandidates(open, now);
    return open
      .filter((entry) => !entry.exclusive && entry !== this.#heldServer?.entry)
      .map((entry) => this.#toCandidate(entry, now, query.extra))
      .filter((candidate) => candidate.hasRoom);
  }

  /**
   * Whether a request can be placed under a rule. Places are counted in the own data centre if that
   * has room at all, else in the others.
   */
  hasRoom(rule: PlacementRule, now: EpochMs): boolean {
    const candidates = this.candidates({ extra: rule.extra }, now);
    if (candidates.length === 0) return false;
    if (rule.keptFree <= 0) return true;
    const local = candidates.filter((candidate) => candidate.local);
    const used = local.length > 0 ? local : candidates;
    const all = this.#openEntries(now).filter((entry) => this.#isLocal(entry) === local.length > 0);
    const places = all.reduce((sum, entry) => sum + this.#places(entry, now), 0);
    const free = used.reduce((sum, next) => sum + this.#freePlaces(next), 0);
    return free > rule.keptFree * places;
  }

  /** How many of the servers that are listed can be reached, as far as is known. */
  countReachable(now: EpochMs): { reachable: number; listed: number } {
    const entries = [...this.#entries.values()];
    const reachable = entries.filter((entry) => entry.reachable(now)).length;
    return { reachable, listed: entries.length };
  }

  /** Whether any server may get new work, with or without room; otherwise waiting is useless. */
  hasOpenServer(tried: ReadonlySet<ServerId> | undefined, now: EpochMs): boolean {
    return this.#openEntries(now).some((entry) => !tried?.has(entry.server.id));
  }

  /** Whether any server may get a request now, by what limits it named; with or without room. */
  maySend(tried: ReadonlySet<ServerId> | undefined, now: EpochMs): boolean {
    return this.#openEntries(now).some((entry) => {
      return !tried?.has(entry.server.id) && this.#maySend(entry, now);
    });
  }

  /**
   * When servers take requests that all limit them or rest; undefined where some server takes them now, or
   * none is there.
   */
  sendPace(now: EpochMs): RateLimitPace | undefined {
    const open = this.#openEntries(now);
    if (open.length > 0) return this.#rateLimits.pace(open.map(({ server }) => server.id), now); // prettier-ignore
    const restMs = this.restEndsInMs(now);
    return restMs === undefined ? undefined : { firstMs: restMs, intervalMs: 0 };
  }

  /** Milliseconds until the first server that rests is back; undefined where none rests. */
  restEndsInMs(now: EpochMs): number | undefined {
    const rests = this.#stayingEntries(now).map(({ server }) => this.#notices.restMs(server, now));
    const resting = rests.filter((restMs) => restMs > 0);
    return resting.length === 0 ? undefined : Math.min(...resting);
  }

  /** Requests that the open servers take at once. */
  capacity(now: EpochMs): number {
    return this.#openEntries(now).reduce((sum, entry) => sum + this.#places(entry, now), 0);
  }

  /** Own attempts in flight at a server. */
  inFlight(id: ServerId): number {
    return this.#entries.get(id)?.load.own ?? 0;
  }

  /** Counts an attempt that is being sent; returns its number for {@link settle}. */
  dispatch(id: ServerId, now: EpochMs, exclusive = false): number {
    const attempt = this.#nextAttempt;
    this.#nextAttempt += 1;
    const entry = this.#entries.get(id);
    if (!entry) return attempt;
    entry.load.start(attempt, now);
    entry.sent(now);
    entry.lastAttempt = attempt;
    this.#notices.sent(entry.server, now);
    this.#attempts.set(attempt, entry);
    if (exclusive) {
      entry.exclusive = true;
      if (this.#heldServer?.entry === entry) this.#heldServer = undefined;
    }
    return attempt;
  }

  /** Something of an answer came; the server is there. */
  heard(attempt: number, now: EpochMs): void {
    this.#attempts.get(attempt)?.heard(now);
  }

  /** The connection for an attempt did not open. */
  unreachable(attempt: number, now: EpochMs): void {
    this.#attempts.get(attempt)?.silent(now);
  }

  /**
   * Avoids servers at which requests wait while nothing at all comes from them. Without it a server
   * that lost power would get new requests until the first of them reached its time limit.
   *
   * @returns ids of the servers that are avoided from now on.
   */
  avoidSilent(silentMs: number, now: EpochMs): ServerId[] {
    const found: ServerId[] = [];
    for (const entry of this.#entries.values()) {
      if (!entry.reachable(now) || entry.silentMs(now) < silentMs) continue;
      entry.silent(now);
      found.push(entry.server.id);
    }
    return found;
  }

  /** Takes in the end of an attempt; a second call for the same attempt does nothing. */
  settle(attempt: number, result: AttemptResult, now: EpochMs): void {
    const entry = this.#attempts.get(attempt);
    if (!entry) return;
    this.#attempts.delete(attempt);
    entry.load.end(attempt, now);
    if (entry.load.own === 0) entry.exclusive = false;
    entry.record(result, this.#health, now);
    if (this.#isSlow(entry)) entry.eject(this.#health, now);
  }

  /** Whether it leaves by the list or by its own word, which outlasts its entry. */
  #isLeaving({ leaving, server }: ServerEntry): boolean {
    return leaving || this.#notices.isLeaving(server);
  }

  #maySend({ server }: ServerEntry, now: EpochMs): boolean {
    return this.#rateLimits.nextAt(server.id, now) <= now;
  }

  /** Places that a server has; where it limits requests a second, the one whose request is due. */
  #places(entry: ServerEntry, now: EpochMs): number {
    if (!this.#rateLimits.has(entry.server.id)) return entry.capacity(this.#health, now);
    return this.#maySend(entry, now) ? 1 : 0;
  }

  #freePlaces({ id, capacity, load }: Candidate): number {
    return this.#rateLimits.has(id) ? 1 : Math.max(0, capacity - load);
  }

  /** Whether the others got as many requests since a server's last one as if all shared alike. */
  #hadNoTurn({ lastAttempt }: ServerEntry): boolean {
    return this.#nextAttempt - 1 - lastAttempt >= this.#entries.size;
  }

  #createEntry(server: BackendServer, now: EpochMs): ServerEntry {
    return new ServerEntry(server, this.#limit, now);
  }

  /** Servers in reach that are not leaving or drained. */
  #stayingEntries(now: EpochMs): ServerEntry[] {
    // out of reach is a fact, not a suspicion: with most servers behind a partition the few that
    // remain have to do, and with none at all the caller is told at once. Each server is tried again
    // by a single request after a pause.
    return [...this.#entries.values()].filter(
      (entry) =>
        !this.#isLeaving(entry) &&
        !this.#drained.has(entry.server.id) &&
        (this.#subset?.has(entry.server.id) ?? true) &&
        entry.reachable(now),
    );
  }

  /** Servers that are not leaving, drained, ejected or resting. */
  #openEntries(now: EpochMs): ServerEntry[] {
    const reachable = this.#stayingEntries(now).filter(({ server }) => {
      return this.#notices.restMs(server, now) === 0;
    });
    const healthy = reachable.filter((entry) => entry.share(this.#health, now) > 0);
    // when most servers look bad the fault is more likely the network or the requests; ejecting
    // them would put all load on the few that remain and bring these down too.
    const tooFew = healthy.length < reachable.length * (1 - MAX_EJECTED_SHARE);
    return tooFew ? reachable : healthy;
  }

  #exclusiveCandidates(open: ServerEntry[], now: EpochMs): Candidate[] {
    const held = this.#heldServer?.entry;
    const idle = open.filter((entry) => entry.load.own === 0);
    const free = idle.filter((entry) => entry === held || entry.load.others(now) === 0);
    if (free.length > 0) return free.map((entry) => this.#toCandidate(entry, now));
    if (!held) this.#hold(open, now);
    return [];
  }

  /** Keeps the least loaded server free of new work until the exclusive request can have it. */
  #hold(open: ServerEntry[], now: EpochMs): void {
    // never the only server: innocent requests would wait for a request that may crash it.
    if (open.length < 2) return;
    const local = open.filter((entry) => this.#isLocal(entry));
    const among = local.length > 0 ? local : open;
    const sorted = among.toSorted((a, b) => a.load.own - b.load.own);
    const least = sorted[0];
    if (least) this.#heldServer = { entry: least, until: now + HOLD_MS };
  }

  #releaseExpiredHold(now: EpochMs): void {
    if (this.#heldServer && this.#heldServer.until <= now) this.#heldServer = undefined;
  }

  #toCandidate(entry: ServerEntry, now: EpochMs, extra = 0): Candidate {
    const capacity = entry.capacity(this.#health, now);
    const load = entry.load.total(now);
    // reports lag, so a router that refills each free place at once would keep its neighbour, which
    // sees the server as full in every report, waiting for ever. A fair part is always its own.
    const fairPart = this.#isLocal(entry) ? Math.ceil(capacity / this.#sharers) : 0;
    return {
      id: entry.server.id,
      idHash: entry.idHash,
      url: entry.server.url,
      local: this.#isLocal(entry),
      load,
      capacity,
      eventMs: entry.pace.eventMs,
      owed: this.#rateLimits.has(entry.server.id) && this.#hadNoTurn(entry),
      hasRoom: load < capacity * (1 + extra) || entry.load.own < fairPart,
    };
  }

  #isLocal(entry: ServerEntry): boolean {
    return entry.server.dataCentre === this.#options.dataCentre;
  }

  #isSlow(entry: ServerEntry): boolean {
    return entry.isSlowAmong([...this.#entries.values()], this.#health);
  }
}
