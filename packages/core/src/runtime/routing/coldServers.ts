/** Servers that have just started, or become cold again, and take few requests a second. */

import type { EpochMs, ServerId, ServiceName } from '../../types/ids.js';

/** How much longer a server stays cold, as it reports it. */
export type ReportedCold =
  | { type: 'none' }
  | { type: 'cold'; ms: number }
  /** The value is not a time. */
  | { type: 'invalid'; text: string };

/** Bound on what all instances together send to a cold server in any second. */
export interface ColdBound {
  /** Multiple of the requests per second that the server tolerates. */
  overshoot: number;
  /** Requests beyond that. */
  slack: number;
}

/** What a service says of its cold servers. */
export interface ColdService {
  /** Requests per second that a cold server tolerates. */
  perSecond: number;
  /** Milliseconds for which a server is cold after its start. */
  coldMs: number;
}

/** A server as the bound sees it. */
export interface ColdTarget {
  id: ServerId;
  service: ServiceName;
}

/** One request that counts towards the bound of its server. */
export interface ColdSend {
  /** When it was sent; undefined while it waits for its connection. */
  sentAt: EpochMs | undefined;
}

/** Milliseconds in which sent requests count; more than a second, as links are not equally quick. */
export const COLD_WINDOW_MS = 1_100;
/** Fraction of the bound that is used, because checks may be counted as well. */
const USED_FRACTION = 0.85;
/** Requests to a server that are kept before those that no longer count are removed. */
const MAX_SENDS = 64;
/** Longest accepted cold time, in milliseconds; a longer one is most likely a mistake. */
const MAX_COLD_MS = 600_000;
/** A service that says nothing of cold servers: only the slack may be used. */
const UNKNOWN_SERVICE: ColdService = { perSecond: 0, coldMs: 0 };

interface KnownServer {
  until: EpochMs;
  sends: ColdSend[];
}

/**
 * Cold servers, and when this instance may send to them. The bound holds for all instances together,
 * also for those that cannot reach each other, so one instance has the whole of it for a server and
 * the others send nothing there until it is warm.
 *
 * @example
 * const cold = new ColdServers(() => bound, (id, now) => share.isOwner(id, now));
 * cold.record('p1', { type: 'cold', ms: 2_500 }, 'chat', now);
 * if (cold.nextAt({ id: 'p1', service }, now) <= now) {
 *   const send = cold.take({ id: 'p1', service }, now);
 *   cold.recordSent(send, now);
 * }
 */
export class ColdServers {
  readonly #bound: () => ColdBound | undefined;
  readonly #isOwner: (id: ServerId, now: EpochMs) => boolean;
  readonly #servers = new Map<ServerId, KnownServer>();
  #services: ReadonlyMap<ServiceName, ColdService> = new Map();

  /**
   * @param bound undefined where cold servers have no bound.
   * @param isOwner whether this instance alone may send to a cold server.
   */
  constructor(
    bound: () => ColdBound | undefined = () => undefined,
    isOwner: (id: ServerId, now: EpochMs) => boolean = () => false,
  ) {
    this.#bound = bound;
    this.#isOwner = isOwner;
  }

  /** Number of servers that are cold. */
  count(now: EpochMs): number {
    return [...this.#servers.values()].filter(({ until }) => until > now).length;
  }

  /** Applies what the services of a new configuration say. */
  setServices(services: ReadonlyMap<ServiceName, ColdService>): void {
    this.#services = services;
  }

  /**
   * Records what a server reports. What it said before is not shortened, because reports may
   * overtake each other.
   *
   * @param service Service of the server, whose cold time replaces one that cannot be read.
   * @returns whether the server was not known to be cold.
   */
  record(id: ServerId, reported: ReportedCold, service: ServiceName, now: EpochMs): boolean {
    if (this.#bound() === undefined || reported.type === 'none') return false;
    const ms = reported.type === 'cold' ? reported.ms : this.#serviceOf(service).coldMs;
    return this.#extend(id, ms, now);
  }

  /** Records that a server may have become cold, because nobody was to send to it. */
  assume({ id, service }: ColdTarget, now: EpochMs): void {
    if (this.#bound() !== undefined) this.#extend(id, this.#serviceOf(service).coldMs, now);
  }

  isCold(id: ServerId, now: EpochMs): boolean {
    return (this.#servers.get(id)?.until ?? -Infinity) > now;
  }

  /** When this instance may send the next request to a server; `now` if at once. */
  nextAt({ id, service }: ColdTarget, now: EpochMs): EpochMs {
    const server = this.#servers.get(id);
    if (!server || server.until <= now) return now;
    const most = this.#mostPerWindow(service);
    if (most === 0 || !this.#isOwner(id, now)) return server.until;
    const counted = countedSends(server, now);
    if (counted.length < most) return now;
    const sentAt = counted.map((send) => send.sentAt ?? now).toSorted((a, b) => a - b);
    const freeAt = (sentAt[counted.length - most] ?? now) + COLD_WINDOW_MS;
    return Math.min(server.until, freeAt);
  }

  /** Milliseconds between two requests of this instance to a cold server, on average. */
  intervalMs({ id, service }: ColdTarget, now: EpochMs): number {
    return this.#isOwner(id, now) ? COLD_WINDOW_MS / Math.max(1, this.#mostPerWindow(service)) : 1;
  }

  /** Takes the place of one request, which counts from now on until it has been sent or ended. */
  take({ id }: ColdTarget, now: EpochMs): ColdSend {
    const send: ColdSend = { sentAt: undefined };
    if (this.#bound() === undefined) return send;
    // a server that becomes cold as it runs has taken requests before.
    const server = this.#servers.get(id) ?? this.#create(id);
    if (server.sends.length >= MAX_SENDS) server.sends = countedSends(server, now);
    server.sends.push(send);
    return send;
  }

  /** Records that a request was written to its connection. */
  recordSent(send: ColdSend, now: EpochMs): void {
    send.sentAt ??= now;
  }

  /** Records that a request has ended; one that was never sent no longer counts. */
  recordEnd(send: ColdSend): void {
    send.sentAt ??= -Infinity;
  }

  /** Removes what is known of unlisted servers, and requests that no longer count. */
  retain(listed: ReadonlySet<ServerId>, now: EpochMs): void {
    for (const [id, server] of this.#servers) {
      server.sends = countedSends(server, now);
      const isOver = server.until <= now && server.sends.length === 0;
      if (isOver && !listed.has(id)) this.#servers.delete(id);
    }
  }

  #extend(id: ServerId, ms: number, now: EpochMs): boolean {
    const server = this.#servers.get(id) ?? this.#create(id);
    const wasCold = server.until > now;
    server.until = Math.max(server.until, now + Math.min(ms, MAX_COLD_MS));
    return !wasCold && server.until > now;
  }

  #create(id: ServerId): KnownServer {
    const created: KnownServer = { until: -Infinity, sends: [] };
    this.#servers.set(id, created);
    return created;
  }

  #serviceOf(service: ServiceName): ColdService {
    return this.#services.get(service) ?? UNKNOWN_SERVICE;
  }

  #mostPerWindow(service: ServiceName): number {
    const bound = this.#bound();
    if (!bound) return Infinity;
    const perSecond = this.#serviceOf(service).perSecond * bound.overshoot + bound.slack;
    return Math.floor(USED_FRACTION * perSecond);
  }
}

/** Requests that count now: those that wait for their connection, and those sent lately. */
function countedSends(server: KnownServer, now: EpochMs): ColdSend[] {
  return server.sends.filter(({ sentAt }) => sentAt === undefined || now - sentAt < COLD_WINDOW_MS);
}
