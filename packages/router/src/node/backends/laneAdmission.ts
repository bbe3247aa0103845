/** Which servers of a lane may get a request while adaptive load is on, and which requests are refused. */

import type {
  Candidate,
  CandidateQuery,
  EpochMs,
  Importance,
  LateRequest,
  ServerPool,
  ServerQueue,
  Tokens,
} from '@flamingocourse/core';
import type { PlacementRequest } from '../../types/backends.js';
import type { Waiter } from './waiter.js';
import {
  ANY_SERVER,
  decideLate,
  EngineMemory,
  hasBegun,
  hasShortQueue,
  isLate,
  meetsTarget,
  StandingQueue,
  UsualTimes,
} from '@flamingocourse/core';

/** What a lane decided about requests whose targets are at risk. */
export type AdmissionEvent =
  /** Sent although it will be late. */
  | 'sent-late'
  /** Refused, because its target can't be met and others need the room. */
  | 'refused-late'
  /** Waits because no engine has memory for it. */
  | 'no-memory';

/** Settings of {@link LaneAdmission} that may change while it runs. */
export interface AdmissionPorts {
  /** Whether adaptive load is on; without it, every server with room may get a request. */
  isOn: () => boolean;
  /** Tokens that fit into the memory of a server; undefined while unknown. */
  memoryTokens: () => Tokens | undefined;
  /** Called for each decision that differs from that of a lane without adaptive load. */
  onEvent: (event: AdmissionEvent) => void;
  /** Called when a queue that makes requests late has formed or drained. */
  onStanding: (isStanding: boolean) => void;
}

/** Ports of a lane that never adapts. */
export const neverOn: AdmissionPorts = {
  isOn: () => false,
  memoryTokens: () => undefined,
  onEvent: () => undefined,
  onStanding: () => undefined,
};

/**
 * Part of the time until its target that a request may spend at a server. The less urgent leave a part
 * of each queue free, so that the more urgent requests of all instances find room there.
 */
const USABLE: Record<Importance, number> = { first: 1, standard: 0.8, background: 0.6 };
/**
 * Part of a server's slots from which its queue and memory are looked at before each placement. With all
 * servers below it, any server meets the target and holds the request.
 */
const BUSY_FRACTION = 0.5;
/** Milliseconds after a busy server, or a request that waited, for which queues are looked at. */
const BUSY_MS = 2_000;
/** Smallest Retry-After of a refusal, in milliseconds. */
const MIN_RETRY_MS = 100;
/** Part of the time left up to which callers honour a Retry-After. */
const HONOURED_FRACTION = 1 / 3;

/**
 * Admission of one lane to the queues of its servers.
 *
 * @example
 * if (admission.refuses(waiter, aheadMs, now)) refuse(waiter);
 * const query = { ...rule, ...admission.bound(waiter, rule, now) };
 */
export class LaneAdmission {
  readonly #pool: ServerPool;
  readonly #ports: AdmissionPorts;
  readonly #usual = new UsualTimes();
  readonly #memory = new EngineMemory();
  readonly #standing = new StandingQueue();
  /** Waiting requests for which a lack of memory was counted. */
  readonly #withoutMemory = new WeakSet<Waiter>();
  #wasStanding = false;
  #busyUntil = -Infinity;

  constructor(pool: ServerPool, ports: AdmissionPorts) {
    this.#pool = pool;
    this.#ports = ports;
  }

  /** Whether its decisions apply. */
  get isOn(): boolean {
    return this.#ports.isOn();
  }

  /** Whether a queue has formed that makes requests late. */
  isStanding(now: EpochMs): boolean {
    return this.#standing.isStanding(now);
  }

  /** Records whether requests wait after all that could be sent were. */
  observe(waits: boolean, now: EpochMs): void {
    if (!this.isOn) return;
    this.#standing.observe(waits, now);
    if (waits) this.#busyUntil = now + BUSY_MS;
    const isStanding = this.#standing.isStanding(now);
    if (isStanding === this.#wasStanding) return;
    this.#wasStanding = isStanding;
    this.#ports.onStanding(isStanding);
  }

  /**
   * Whether the target of a request can't be met any more.
   *
   * @param aheadMs expected wait before it is its turn.
   */
  isLate(waiter: Waiter, aheadMs: number, now: EpochMs): boolean {
    const due = this.#dueAt(waiter);
    if (!this.isOn || due === undefined) return false;
    return isLate(this.#lateRequest(waiter, due, now), aheadMs);
  }

  /** Whether a request is refused when it arrives: it would be late, as all are for some time. */
  refuses(waiter: Waiter, aheadMs: number, now: EpochMs): boolean {
    return this.#standing.isStanding(now) && this.isLate(waiter, aheadMs, now);
  }

  /** Whether it is useful to take a request from the queue now. */
  mayTake(waiter: Waiter, isMinimumShareTurn: boolean, now: EpochMs): boolean {
    const due = this.#dueAt(waiter);
    if (!this.isOn || due === undefined || !this.#isBusy(now)) return true;
    waiter.isMinimumShareTurn = isMinimumShareTurn;
    // a request for which no server has room or memory is parked, so that others can pass it.
    const servers = this.#candidates(waiter, {}, now);
    if (servers.length === 0) return true;
    return decideLate(this.#lateRequest(waiter, due, now), servers) !== 'wait';
  }

  /** Restricts a query to the servers that can meet the target, or else to those with room. */
  bound(waiter: Waiter, query: CandidateQuery, now: EpochMs): Pick<CandidateQuery, 'accepts'> {
    if (!this.isOn || !this.#isBusy(now)) return {};
    const holds = (server: Candidate): boolean => this.#holds(server, waiter.request);
    const due = this.#dueAt(waiter);
    if (due === undefined) return { accepts: holds };
    const request = this.#lateRequest(waiter, due, now);
    const servers = this.#candidates(waiter, query, now);
    if (decideLate(request, servers) === 'send') {
      return { accepts: (server) => holds(server) && meetsTarget(this.#toQueue(server), request) };
    }
    return {
      accepts: (server) => holds(server) && hasShortQueue(this.#toQueue(server), request.usual),
    };
  }

  /** Records that an attempt was placed at a server. */
  recordPlaced(attempt: number, server: Candidate, waiter: Waiter, now: EpochMs): void {
    this.#memory.place(attempt, server.id, tokensOf(waiter.request));
    if (server.load >= BUSY_FRACTION * server.capacity) this.#busyUntil = now + BUSY_MS;
    const due = this.#dueAt(waiter);
    if (!this.isOn || due === undefined) return;
    if (isLate(this.#lateRequest(waiter, due, now), 0)) this.#ports.onEvent('sent-late');
  }

  /** Records the end of an attempt. */
  recordEnd(attempt: number): void {
    this.#memory.release(attempt);
  }

  /** Records the times of an answer, from the placement. */
  recordAnswer(workClass: string, firstMs: number, totalMs: number): void {
    this.#usual.record(workClass, firstMs, totalMs);
  }

  /**
   * Retry-After of a request that is refused now, in milliseconds. It is spread, so that those that
   * are refused together don't return together.
   */
  retryAfterMs({ request }: Waiter, drainMs: number, random: number, now: EpochMs): number {
    this.#ports.onEvent('refused-late');
    const honouredMs = HONOURED_FRACTION * (request.deadline - now);
    const spreadMs = Math.max(MIN_RETRY_MS, drainMs) * (1 + random);
    return Math.floor(Math.max(MIN_RETRY_MS, Math.min(spreadMs, honouredMs)));
  }

  /** Whether a server was busy lately, or a request waited. Looking at all servers takes processor time. */
  #isBusy(now: EpochMs): boolean {
    return now < this.#busyUntil;
  }

  /** Time of the target; undefined for what has begun, and so is worth its end. */
  #dueAt({ request }: Waiter): EpochMs | undefined {
    const { bounds = ANY_SERVER, startBy, tried } = request;
    return hasBegun(bounds.software) || tried.length > 0 ? undefined : startBy;
  }

  #lateRequest({ request, isMinimumShareTurn }: Waiter, due: EpochMs, now: EpochMs): LateRequest {
    const usual = { firstMs: this.#usual.firstMs(request.workClass), slotMs: this.#usual.slotMs };
    const usable = isMinimumShareTurn ? 1 : USABLE[request.importance];
    return { leftMs: due - now, usable, usual };
  }

  /** Servers with room and memory for a request. */
  #candidates(waiter: Waiter, query: CandidateQuery, now: EpochMs): ServerQueue[] {
    const { request } = waiter;
    const { bounds = ANY_SERVER } = request;
    const servers = this.#pool.candidates({ bounds, ...query }, now);
    const holding = servers.filter((server) => this.#holds(server, request));
    if (servers.length > 0 && holding.length === 0) this.#recordNoMemory(waiter);
    return holding.map((server) => this.#toQueue(server));
  }

  #holds({ id, load }: Candidate, request: PlacementRequest): boolean {
    const own = this.#pool.inFlight(id);
    const requests = { own, others: Math.max(0, load - own) };
    return this.#memory.hasRoom(id, tokensOf(request), requests, this.#ports.memoryTokens());
  }

  #toQueue(server: Candidate): ServerQueue {
    const slots = this.#pool.server(server.id)?.slots ?? server.capacity;
    return { ...server, own: this.#pool.inFlight(server.id), slots };
  }

  #recordNoMemory(waiter: Waiter): void {
    if (this.#withoutMemory.has(waiter)) return;
    this.#withoutMemory.add(waiter);
    this.#ports.onEvent('no-memory');
  }
}

function tokensOf({ promptTokens = 0, outputTokens = 0 }: PlacementRequest): Tokens {
  return promptTokens + outputTokens;
}
