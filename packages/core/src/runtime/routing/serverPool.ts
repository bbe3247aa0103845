/**
 * Table of the backend servers of one service at one router. It decides which servers can receive
 * requests; a {@link ServerChooser} picks one of them.
 */

import type { DataCentreId, EpochMs, ServerId } from '../../types/ids.js';
import type { BackendServer } from '../../types/member.js';
import type {
  AttemptResult,
  Candidate,
  CandidateQuery,
  ServerBounds,
} from '../../types/placement.js';
import type { ConcurrencyLimit, ConcurrencyLimitKind } from './concurrencyLimit.js';
import type { ColdSend } from './coldServers.js';
import type { LoadReport } from './loadEstimate.js';
import type { HealthSettings } from './serverHealth.js';
import type { RateLimitPace } from './serverRateLimits.js';
import { rendezvousRank } from '../../utils/hash.js';
import { combinePaces } from './sendPace.js';
import { createConcurrencyLimit } from './concurrencyLimit.js';
import { defaultHealthSettings } from './serverHealth.js';
import type { RestoredBy } from './reachability.js';
import { SeenSoftware } from './seenSoftware.js';
import { ServerEntry } from './serverEntry.js';
import { ServerNotices } from './serverNotices.js';
import { ServerRateLimits } from './serverRateLimits.js';
import { MAX_ENTRY_DELAY_MS } from './serverProcess.js';
import { ANY_SERVER } from './serverBounds.js';
import { SendRules } from './sendRules.js';
import type { SendObstacle } from './serverGate.js';
import { ServerGate } from './serverGate.js';
import { ServerRoom } from './serverRoom.js';

/** Options of a server pool. */
export interface ServerPoolOptions {
  /** Data centre of this router. */
  dataCentre: DataCentreId;
  /** Declared maximum of concurrent requests per server. */
  concurrencyPerServer: number;
  /** @default 'aimd' */
  limitKind?: ConcurrencyLimitKind;
  /** Routers that share the servers of this data centre, including this one. @default 1 */
  sharers?: number;
  health?: Partial<HealthSettings>;
  /** What binds everything that is sent to servers. @default no rules */
  rules?: SendRules;
  /** What shows that a silent server can be reached again. @default 'requests' */
  restoredBy?: RestoredBy;
  /** Software versions of the service, shared with whatever else hears of them. @default none */
  seenSoftware?: SeenSoftware;
}

/** Which slots a request may use; see `ImportanceReserve`. A slot is room for one request. */
export interface PlacementRule {
  /** Fraction of all slots that must stay free, from 0 to 1. */
  keptFree: number;
  /** Fraction of a server's slots that may be used beyond its limit, from 0 to 1. */
  extra: number;
}

/** An attempt in flight. */
interface Attempt {
  entry: ServerEntry;
  send: ColdSend;
}

/** Maximum fraction of the pool that can be ejected at once. */
const MAX_EJECTED_SHARE = 0.5;
/** Obstacles that somebody has chosen, the most telling first. */
const CHOSEN_OBSTACLES: readonly SendObstacle[] = ['evacuated', 'other-software', 'outside-homes'];
/** How long a server is held for a request that must run alone, in milliseconds. */
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
  readonly #attempts = new Map<number, Attempt>();
  readonly #options: ServerPoolOptions;
  readonly #health: HealthSettings;
  /** Shared by all servers: one server alone has too few answers to adapt in time. */
  readonly #limit: ConcurrencyLimit;
  readonly #gate: ServerGate;
  readonly #room: ServerRoom;
  #sharers: number;
  #nextAttempt = 1;
  #heldServer: { entry: ServerEntry; until: EpochMs } | undefined;

  constructor(options: ServerPoolOptions) {
    this.#options = options;
    this.#health = { ...defaultHealthSettings, ...options.health };
    this.#sharers = options.sharers ?? 1;
    const rules = options.rules ?? new SendRules(noNotices());
    this.#gate = new ServerGate(rules, options.seenSoftware ?? new SeenSoftware());
    const { concurrencyPerServer } = options;
    this.#room = new ServerRoom({ gate: this.#gate, health: this.#health, concurrencyPerServer });
    const bounds = { max: concurrencyPerServer };
    this.#limit = createConcurrencyLimit(options.limitKind ?? 'aimd', bounds);
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
    this.#entries.get(id)?.load.report(report, now);
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
    const others = [...this.#entries.values()].filter((entry) => {
      return !except.has(entry.server.id) && this.#canBeRead(entry, bounds, now);
    });
    const [first, ...rest] = others;
    if (!first) return undefined;
    const rank = ({ idHash }: ServerEntry): number => rendezvousRank(prefixHash, idHash);
    return rest.reduce((best, next) => (rank(next) > rank(best) ? next : best), first).server;
  }

  /** Whether a prompt can be copied from a server: it is listed, reachable and not leaving. */
  canCopyFrom(id: ServerId, now: EpochMs, bounds = ANY_SERVER): boolean {
    const entry = this.#entries.get(id);
    return entry !== undefined && this.#canBeRead(entry, bounds, now);
  }

  /** Servers of all data centres with capacity for one more request. */
  candidates(query: CandidateQuery, now: EpochMs): Candidate[] {
    this.#releaseExpiredHold(now);
    const open = this.#openEntries(now, query.bounds).filter((entry) => {
      return !query.tried?.has(entry.server.id) && this.#room.maySend(entry, now);
    });
    if (query.exclusive) return this.#exclusiveCandidates(open, now);
    return open
      .filter((entry) => !entry.exclusive && entry !== this.#heldServer?.entry)
      .map((entry) => this.#toCandidate(entry, now, query.extra))
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
    const all = this.#openEntries(now).filter((entry) => this.#isLocal(entry) === local.length > 0);
    const places = all.reduce((sum, entry) => sum + this.#room.slots(entry, now), 0);
    const free = used.reduce((sum, next) => sum + this.#freeSlots(next, now), 0);
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
    return this.#openEntries(now, bounds).some((entry) => !tried?.has(entry.server.id));
  }

  /** Why no server may run a request, now or later; undefined if one may, or if there is none. */
  closedBy(now: EpochMs, bounds = ANY_SERVER): SendObstacle | undefined {
    const obstacles = [...this.#entries.values()].map((entry) => {
      return this.#gate.obstacle(entry, bounds, now);
    });
    if (obstacles.includes(undefined)) return undefined;
    // the reason that somebody has chosen tells callers more than a server that is lost.
    return CHOSEN_OBSTACLES.find((each) => obstacles.includes(each)) ?? obstacles[0];
  }

  /** Whether any server may be sent a request now by its notices, with or without capacity. */
  maySend(tried: ReadonlySet<ServerId> | undefined, now: EpochMs, bounds = ANY_SERVER): boolean {
    return this.#openEntries(now, bounds).some((entry) => {
      return !tried?.has(entry.server.id) && this.#room.maySend(entry, now);
    });
  }

  /**
   * When the next request can be sent while every server has a rate limit, is brittle or has
   * requested a pause; undefined if a server has none of these, or if there is no server.
   */
  sendPace(now: EpochMs, bounds = ANY_SERVER): RateLimitPace | undefined {
    const open = this.#openEntries(now, bounds);
    if (open.length > 0) return combinePaces(open.map((entry) => this.#room.pace(entry, now)));
    const restMs = this.pauseEndsInMs(now, bounds);
    return restMs === undefined ? undefined : { firstMs: restMs, intervalMs: 0 };
  }

  /**
   * Milliseconds until the first requested pause ends; undefined if no server has requested one.
   */
  pauseEndsInMs(now: EpochMs, bounds = ANY_SERVER): number | undefined {
    const pausesMs = this.#stayingEntries(now, bounds).map((entry) =>
      this.#gate.restMs(entry, now),
    );
    const activeMs = pausesMs.filter((restMs) => restMs > 0);
    return activeMs.length === 0 ? undefined : Math.min(...activeMs);
  }

  /** Number of slots of all open servers. */
  capacity(now: EpochMs): number {
    return this.#openEntries(now).reduce((sum, entry) => sum + this.#room.slots(entry, now), 0);
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
    entry.load.start(attempt, now);
    entry.recordSent(now);
    entry.lastAttempt = attempt;
    this.#attempts.set(attempt, { entry, send: this.#gate.rules.take(entry.server, now) });
    if (exclusive) {
      entry.exclusive = true;
      if (this.#heldServer?.entry === entry) this.#heldServer = undefined;
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
    if (entry && isSameLife(entry.server, server)) entry.replacedUntil = now + MAX_ENTRY_DELAY_MS;
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
    if (entry.load.own === 0) entry.exclusive = false;
    entry.record(result, this.#health, now);
    if (this.#isSlow(entry)) entry.eject(this.#health, now);
  }

  /** Whether its memory of prompts can be read by another server, for a request with such bounds. */
  #canBeRead(entry: ServerEntry, { homes }: ServerBounds, now: EpochMs): boolean {
    const isHome = homes?.has(entry.server.dataCentre) ?? true;
    return isHome && entry.reachable(now) && this.#gate.closedBy(entry) === undefined;
  }

  #freeSlots({ id, capacity, load }: Candidate, now: EpochMs): number {
    const entry = this.#entries.get(id);
    return entry ? this.#room.freeSlots(entry, capacity, load, now) : Math.max(0, capacity - load);
  }

  /** Whether the other servers have received at least an equal share since its last request. */
  #isBelowFairShare({ lastAttempt }: ServerEntry): boolean {
    return this.#nextAttempt - 1 - lastAttempt >= this.#entries.size;
  }

  #createEntry(server: BackendServer, now: EpochMs): ServerEntry {
    return new ServerEntry(server, this.#limit, this.#options.restoredBy ?? 'requests', now);
  }

  /** Servers to which a request may be sent, now or after a pause. */
  #stayingEntries(now: EpochMs, bounds: ServerBounds): ServerEntry[] {
    // a version that only the list shows counts as well.
    if (bounds.software.type === 'unknown') this.#gate.observeSoftware(this.servers, now);
    // unreachable servers are always excluded, unlike ejected ones. If most servers are behind a
    // partition, the few others get all requests; if none is reachable, the caller is refused at
    // once. After a delay, a single request tests each unreachable server again.
    return [...this.#entries.values()].filter((entry) => {
      return this.#gate.obstacle(entry, bounds, now) === undefined;
    });
  }

  /** Servers that are not leaving, drained, ejected or in a requested pause. */
  #openEntries(now: EpochMs, bounds = ANY_SERVER): ServerEntry[] {
    const reachable = this.#stayingEntries(now, bounds).filter((entry) => {
      return this.#gate.restMs(entry, now) === 0;
    });
    const healthy = reachable.filter((entry) => entry.share(this.#health, now) > 0);
    // if most servers seem unhealthy, the network or the requests are more likely at fault.
    // Ejecting them would move all load to the few others and overload these as well.
    const tooFew = healthy.length < reachable.length * (1 - MAX_EJECTED_SHARE);
    return tooFew ? reachable : healthy;
  }

  #exclusiveCandidates(open: ServerEntry[], now: EpochMs): Candidate[] {
    const held = this.#heldServer?.entry;
    const idle = open.filter((entry) => entry.load.own === 0);
    const free = idle.filter((entry) => entry === held || entry.load.others(now) === 0);
    if (free.length > 0) return free.map((entry) => this.#toCandidate(entry, now));
    if (!held) this.#holdServer(open, now);
    return [];
  }

  /** Reserves the least loaded server for the exclusive request: it gets no other requests. */
  #holdServer(open: ServerEntry[], now: EpochMs): void {
    // never the only server: other requests would wait for a request that may crash it.
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
    const most = this.#room.maxInFlight(entry, now);
    const capacity =
      most === undefined ? entry.capacity(this.#health, now) : this.#room.declaredSlots(entry);
    const load = entry.load.total(now);
    // load reports are delayed. If one router refilled each free slot at once, another router would
    // see a full server in every report and wait for ever. So each router may always use a fair
    // share.
    const fairPart = this.#isLocal(entry) ? Math.ceil(capacity / this.#sharers) : 0;
    return {
      id: entry.server.id,
      idHash: entry.idHash,
      url: entry.server.url,
      local: this.#isLocal(entry),
      load,
      loadAgeMs: entry.load.ageMs(now),
      capacity,
      eventMs: entry.pace.eventMs,
      isDue: this.#room.isLimited(entry) && this.#isBelowFairShare(entry),
      hasRoom:
        most === undefined
          ? load < capacity * (1 + extra) || entry.load.own < fairPart
          : entry.load.own < most,
    };
  }

  #isLocal(entry: ServerEntry): boolean {
    return entry.server.dataCentre === this.#options.dataCentre;
  }

  #isSlow(entry: ServerEntry): boolean {
    return entry.isSlowAmong([...this.#entries.values()], this.#health);
  }
}

function noNotices(): ServerNotices {
  return new ServerNotices(new ServerRateLimits(() => 0), () => 0);
}

/** Whether two entries under the same id describe the same server process. */
function isSameLife(known: BackendServer, server: BackendServer): boolean {
  return (
    known.url === server.url &&
    known.bornAt === server.bornAt &&
    known.softwareVersion === server.softwareVersion
  );
}
