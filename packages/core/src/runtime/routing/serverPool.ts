/**
 * Table of the backend servers of one service at one router. It decides which servers can receive
 * requests; a {@link ServerChooser} picks one of them.
 */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { BackendServer } from '../../types/member.js';
import type { AttemptResult, Candidate, CandidateQuery } from '../../types/placement.js';
import type { ColdSend } from './coldServers.js';
import type { LoadReport } from './loadEstimate.js';
import type { HealthSettings } from './serverHealth.js';
import type { RateLimitPace } from './serverRateLimits.js';
import { combinePaces } from './sendPace.js';
import { createConcurrencyLimit } from './concurrencyLimit.js';
import { defaultHealthSettings } from './serverHealth.js';
import { SeenSoftware } from './seenSoftware.js';
import type { SharedByServers } from './serverEntry.js';
import { ServerEntry } from './serverEntry.js';
import type { PoolState } from './candidateViews.js';
import { CandidateViews } from './candidateViews.js';
import type { PlacementRule, ServerPoolOptions } from './serverPoolOptions.js';
import { withoutNotices } from './serverPoolOptions.js';
import { OpenServers } from './openServers.js';
import { ExclusiveHold } from './exclusiveHold.js';
import { MAX_ENTRY_DELAY_MS } from './serverProcess.js';
import { ANY_SERVER } from './serverBounds.js';
import type { SendObstacle } from './serverGate.js';
import { ServerGate } from './serverGate.js';
import type { SpeedReport } from './serverSpeed.js';
import { ServerRoom } from './serverRoom.js';
import { SpeedPersistence } from './speedPersistence.js';
import { SpeedTrust } from './speedTrust.js';
import { RequestTime } from './requestTime.js';

/** An attempt in flight. */
interface Attempt {
  entry: ServerEntry;
  send: ColdSend;
}

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
  readonly #attempts = new Map<number, Attempt>();
  readonly #options: ServerPoolOptions;
  readonly #health: HealthSettings;
  /** One server alone has too few answers to adapt in time. */
  readonly #shared: SharedByServers;
  readonly #gate: ServerGate;
  readonly #room: ServerRoom;
  #sharers: number;
  #nextAttempt = 1;
  readonly #hold = new ExclusiveHold();
  readonly #servers: OpenServers;
  readonly #views: CandidateViews;

  constructor(options: ServerPoolOptions) {
    this.#options = options;
    this.#health = { ...defaultHealthSettings, ...options.health };
    this.#sharers = options.sharers ?? 1;
    const rules = options.rules ?? withoutNotices();
    this.#gate = new ServerGate(rules, options.software ?? { seen: new SeenSoftware() });
    const health = this.#health;
    this.#servers = new OpenServers({ entries: this.#entries, gate: this.#gate, health });
    const { concurrencyPerServer } = options;
    this.#room = new ServerRoom({ gate: this.#gate, health, concurrencyPerServer });
    const bounds = { max: concurrencyPerServer };
    this.#shared = {
      limit: createConcurrencyLimit(options.limitKind ?? 'aimd', bounds),
      restoredBy: options.restoredBy ?? 'requests',
      timing: {
        persistence: new SpeedPersistence(),
        requestTime: new RequestTime(),
        trust: new SpeedTrust(),
      },
    };
    const { dataCentre } = options;
    this.#views = new CandidateViews({ dataCentre, health, room: this.#room });
  }

  /** Servers in the list. */
  get servers(): BackendServer[] {
    return [...this.#entries.values()].map((entry) => entry.server);
  }

  /** Finds one server by id; `undefined` if it is not in the list. */
  server(id: ServerId): BackendServer | undefined {
    return this.#entries.get(id)?.server;
  }

  /** Sets how many routers share the servers, including this one. */
  setSharers(count: number): void {
    this.#sharers = Math.max(1, count);
  }

  /** Restricts new requests to some of the servers; `undefined` removes the restriction. */
  setSubset(ids: ReadonlySet<ServerId> | undefined): void {
    this.#gate.setSubset(ids);
  }

  /**
   * Applies a new version of the server list.
   *
   * The list is delayed. A server that reported that it is leaving gets no requests while the list
   * still shows it as live; otherwise each refresh would send requests to a server that refuses
   * them. The mark is cleared only when the list no longer contains the server, or shows another
   * server process (another URL, start time or software) under its id.
   */
  applyList(servers: BackendServer[], now: EpochMs): void {
    this.#gate.observeSoftware([...this.servers, ...servers], now);
    const listed = new Set<ServerId>();
    for (const server of servers) {
      listed.add(server.id);
      const known = this.#entries.get(server.id);
      if (known && isSameLife(known.server, server)) known.update(server, now);
      else this.#entries.set(server.id, this.#createEntry(server, now));
    }
    for (const [id, entry] of this.#entries) {
      if (listed.has(id)) continue;
      // attempts in flight hold their own reference to the entry, so they can still be settled.
      entry.listed = false;
      this.#entries.delete(id);
    }
  }

  /** Marks a server that reported that it is leaving. */
  markLeaving(id: ServerId): void {
    const entry = this.#entries.get(id);
    if (entry) entry.reportedLeaving = true;
  }

  /** Starts or ends an operator's drain of a server; applies regardless of the list. */
  setDrained(id: ServerId, drained: boolean): void {
    this.#gate.setDrained(id, drained);
  }

  /** Applies a load report of a server. */
  reportLoad(id: ServerId, report: LoadReport, now: EpochMs): void {
    this.#entries.get(id)?.reportLoad(report, now);
  }

  /** The last speed report of each server that has sent one. */
  speedReports(now: EpochMs): SpeedReport[] {
    return [...this.#entries.values()].flatMap(({ timing }) => timing.lastSpeed(now) ?? []);
  }

  /** Whether to log that the load report of a server can't be read; seldom, as each response has one. */
  mayLogInvalidLoad(id: ServerId, now: EpochMs): boolean {
    return this.#entries.get(id)?.mayLogInvalidLoad(now) ?? false;
  }

  /** Records the milliseconds per event in the fastest section of a stream. */
  observePace(id: ServerId, quickestMs: number): void {
    this.#entries.get(id)?.pace.observe(quickestMs);
  }

  /**
   * The server that most likely has a prompt cached: the first in rendezvous order among the
   * reachable servers, as other instances send requests with the same prompt there.
   *
   * @param except servers to leave out.
   */
  likelyPromptServer(
    prefixHash: number,
    except: ReadonlySet<ServerId>,
    now: EpochMs,
    bounds = ANY_SERVER,
  ): BackendServer | undefined {
    return this.#servers.likelyPromptServer(prefixHash, except, now, bounds);
  }

  /** Whether a prompt can be copied from a server: it is listed, reachable and not leaving. */
  canCopyFrom(id: ServerId, now: EpochMs, bounds = ANY_SERVER): boolean {
    const entry = this.#entries.get(id);
    return entry !== undefined && this.#servers.canBeRead(entry, bounds, now);
  }

  /** Servers of all data centres with capacity for one more request. */
  candidates(query: CandidateQuery, now: EpochMs): Candidate[] {
    this.#hold.releaseExpired(now);
    const open = this.#servers.open(now, query.bounds).filter((entry) => {
      return !query.tried?.has(entry.server.id) && this.#room.maySend(entry, now);
    });
    const state = this.#state();
    if (query.exclusive) {
      const idle = this.#hold.idleServers(open, (entry) => this.#views.isLocal(entry), now);
      return idle.map((entry) => this.#views.view(entry, state, now));
    }
    return open
      .filter((entry) => !entry.exclusive && !this.#hold.holds(entry))
      .map((entry) => this.#views.view(entry, state, now, query.extra))
      .filter((candidate) => candidate.hasRoom && (query.accepts?.(candidate) ?? true));
  }

  /**
   * Whether a request can be placed under a rule. Slots are counted in the local data centre if it
   * has any candidate, otherwise in the others.
   */
  hasRoom(rule: PlacementRule, now: EpochMs): boolean {
    const candidates = this.candidates({ extra: rule.extra }, now);
    if (candidates.length === 0) return false;
    if (rule.keptFree <= 0) return true;
    const local = candidates.filter((candidate) => candidate.local);
    const used = local.length > 0 ? local : candidates;
    const all = this.#servers.open(now).filter((entry) => {
      return this.#views.isLocal(entry) === local.length > 0;
    });
    const places = all.reduce((sum, entry) => sum + this.#room.slots(entry, now), 0);
    const free = used.reduce((sum, next) => {
      return sum + this.#views.freeSlots(this.#entries.get(next.id), next, now);
    }, 0);
    return free > rule.keptFree * places;
  }

  /** Number of listed servers, and how many of them are reachable as far as is known. */
  countReachable(now: EpochMs): { reachable: number; listed: number } {
    const entries = [...this.#entries.values()];
    const reachable = entries.filter((entry) => entry.reachable(now)).length;
    return { reachable, listed: entries.length };
  }

  /**
   * Whether any server may receive requests, with or without capacity; if not, waiting is useless.
   */
  hasOpenServer(
    tried: ReadonlySet<ServerId> | undefined,
    now: EpochMs,
    bounds = ANY_SERVER,
  ): boolean {
    return this.#servers.open(now, bounds).some((entry) => !tried?.has(entry.server.id));
  }

  /** Why no server may run a request, now or later; undefined if one may, or if there is none. */
  closedBy(now: EpochMs, bounds = ANY_SERVER): SendObstacle | undefined {
    return this.#servers.closedBy(now, bounds);
  }

  /** Whether any server may be sent a request now by its notices, with or without capacity. */
  maySend(tried: ReadonlySet<ServerId> | undefined, now: EpochMs, bounds = ANY_SERVER): boolean {
    return this.#servers.open(now, bounds).some((entry) => {
      return !tried?.has(entry.server.id) && this.#room.maySend(entry, now);
    });
  }

  /**
   * When the next request can be sent while every server has a rate limit, is brittle or has
   * requested a pause; undefined if a server has none of these, or if there is no server.
   */
  sendPace(now: EpochMs, bounds = ANY_SERVER): RateLimitPace | undefined {
    const open = this.#servers.open(now, bounds);
    if (open.length > 0) return combinePaces(open.map((entry) => this.#room.pace(entry, now)));
    const restMs = this.pauseEndsInMs(now, bounds);
    return restMs === undefined ? undefined : { firstMs: restMs, intervalMs: 0 };
  }

  /**
   * Milliseconds until the first requested pause ends; undefined if no server has requested one.
   */
  pauseEndsInMs(now: EpochMs, bounds = ANY_SERVER): number | undefined {
    return this.#servers.pauseEndsInMs(now, bounds);
  }

  /** Number of slots of all open servers. */
  capacity(now: EpochMs): number {
    return this.#servers.open(now).reduce((sum, entry) => sum + this.#room.slots(entry, now), 0);
  }

  /** Own attempts in flight at a server. */
  inFlight(id: ServerId): number {
    return this.#entries.get(id)?.load.own ?? 0;
  }

  /** Records an attempt that is being sent; returns its number for {@link settle}. */
  dispatch(id: ServerId, now: EpochMs, exclusive = false): number {
    const attempt = this.#nextAttempt;
    this.#nextAttempt += 1;
    const entry = this.#entries.get(id);
    if (!entry) return attempt;
    if (this.#options.timesAnswers)
      entry.timing.start(attempt, this.#views.timingState(entry), now);
    entry.load.start(attempt, now);
    entry.recordSent(now);
    entry.lastAttempt = attempt;
    this.#attempts.set(attempt, { entry, send: this.#gate.rules.take(entry.server, now) });
    if (exclusive) {
      entry.exclusive = true;
      this.#hold.release(entry);
    }
    return attempt;
  }

  /** Records that the request of an attempt was written to its connection. */
  recordSent(attempt: number, now: EpochMs): void {
    const send = this.#attempts.get(attempt)?.send;
    if (send) this.#gate.rules.cold.recordSent(send, now);
  }

  /** Records that part of an answer arrived, so the server is reachable. */
  recordReceived(attempt: number, now: EpochMs): void {
    this.#attempts.get(attempt)?.entry.recordReceived(now);
  }

  /** Records that the connection for an attempt did not open. */
  recordUnreachable(attempt: number, now: EpochMs): void {
    this.#attempts.get(attempt)?.entry.recordSilence(now);
  }

  /** Records that another process than the listed one was found under the id of a server. */
  recordReplaced(server: BackendServer, now: EpochMs): void {
    const entry = this.#entries.get(server.id);
    if (entry && isSameLife(entry.server, server)) entry.recordReplaced(now + MAX_ENTRY_DELAY_MS);
  }

  /** Servers that get no requests before a probe of them is answered. */
  get awaitingProbe(): ServerId[] {
    const waiting = [...this.#entries.values()].filter((entry) => entry.awaitsProbe);
    return waiting.map(({ server }) => server.id);
  }

  /** Records that a probe of a server was answered. */
  recordProbeAnswer(id: ServerId): void {
    this.#entries.get(id)?.recordProbeAnswer();
  }

  /** Records that new connections take another path to a server, which is known to work. */
  recordPathChange(id: ServerId, now: EpochMs): void {
    this.#entries.get(id)?.recordPathChange(now);
  }

  /**
   * Avoids servers that have requests in flight but have sent nothing for `silentMs`. Otherwise a
   * server that lost power would get new requests until the first of them reached its timeout.
   *
   * @returns ids of the servers that are newly avoided.
   */
  avoidSilent(silentMs: number, now: EpochMs): ServerId[] {
    const found: ServerId[] = [];
    for (const entry of this.#entries.values()) {
      if (!entry.reachable(now) || entry.silentMs(now) < silentMs) continue;
      entry.recordSilence(now);
      found.push(entry.server.id);
    }
    return found;
  }

  /** Records the end of an attempt; a second call for the same attempt has no effect. */
  settle(attempt: number, result: AttemptResult, now: EpochMs): void {
    const known = this.#attempts.get(attempt);
    if (!known) return;
    const { entry, send } = known;
    this.#attempts.delete(attempt);
    this.#gate.rules.cold.recordEnd(send);
    if (result.end === 'ok') entry.load.recordDuration(attempt, now);
    entry.load.end(attempt, now);
    entry.timing.end(attempt, result.end === 'ok' ? result.firstTokenMs : undefined);
    if (entry.load.own === 0) entry.exclusive = false;
    entry.record(result, this.#health, now);
    if (this.#isSlow(entry)) entry.eject(this.#health, now);
  }

  #state(): PoolState {
    return {
      sharers: this.#sharers,
      attempts: this.#nextAttempt - 1,
      servers: this.#entries.size,
    };
  }

  #createEntry(server: BackendServer, now: EpochMs): ServerEntry {
    return new ServerEntry(server, this.#shared, now);
  }

  #isSlow(entry: ServerEntry): boolean {
    return entry.isSlowAmong([...this.#entries.values()], this.#health);
  }
}

/** Whether two entries under the same id describe the same server process. */
function isSameLife(known: BackendServer, server: BackendServer): boolean {
  return (
    known.url === server.url &&
    known.bornAt === server.bornAt &&
    known.softwareVersion === server.softwareVersion
  );
}
