/** Bounded queue for requests of one service that wait for a backend server. */

import type { EpochMs } from '../../types/ids.js';
import type { PlacementTest, QueueDiscipline, QueueEntry } from './queueDiscipline.js';
import { DrainRate } from './drainRate.js';
import { ImportanceDeadlineDiscipline } from './queueDiscipline.js';

/** Options of a queue. */
export interface AdmissionQueueOptions {
  /** Maximum number of waiting requests. */
  maxSize: number;
  /** @default ImportanceDeadlineDiscipline */
  discipline?: QueueDiscipline;
  /** Whether requests that would miss their deadline are refused on arrival. @default true */
  refuseUnreachable?: boolean;
}

/** Why a request was shed. A shed request was never sent, so its run verdict is `not-run`. */
export type ShedReason = 'overloaded' | 'deadline-unreachable' | 'deadline-passed';

/** A waiting or arriving request that is refused now. */
export interface ShedEntry {
  entry: QueueEntry;
  reason: ShedReason;
  /** Milliseconds after which a retry can succeed; absent if it cannot. */
  retryAfterMs?: number;
}

/** Result of an offer. `shed` may contain the offered request or a less valuable one. */
export interface OfferResult {
  queued: boolean;
  shed: ShedEntry[];
}

/** Next request, and the requests that were too late and were shed before it. */
export interface TakeResult {
  entry?: QueueEntry;
  shed: ShedEntry[];
}

const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 30_000;
/** Retry time while the drain rate is unknown, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Waiting requests of one service. Every shed request is returned at once, so that its caller is
 * refused immediately.
 *
 * @example
 * const queue = new AdmissionQueue({ maxSize: 256 });
 * const { shed } = queue.offer({ id: 1, importance: 'first', deadline: now + 2_000 }, now);
 * const next = queue.take(now);
 */
export class AdmissionQueue {
  readonly #maxSize: number;
  readonly #discipline: QueueDiscipline;
  readonly #refuseUnreachable: boolean;
  readonly #drain = new DrainRate();
  readonly #laneDrains = new Map<string, DrainRate>();

  constructor(options: AdmissionQueueOptions) {
    this.#maxSize = options.maxSize;
    this.#discipline = options.discipline ?? new ImportanceDeadlineDiscipline();
    this.#refuseUnreachable = options.refuseUnreachable ?? true;
  }

  get size(): number {
    return this.#discipline.size;
  }

  /**
   * Adds a request. Sheds it if it cannot meet its deadline, or the least valuable request if the
   * queue is full.
   */
  offer(entry: QueueEntry, now: EpochMs): OfferResult {
    const late = this.#checkDeadline(entry, this.predictWaitMs(entry, now), now);
    if (late) return { queued: false, shed: [late] };
    this.#discipline.add(entry);
    const shed = this.#shedOverflow(now);
    return { queued: !shed.some((other) => other.entry.id === entry.id), shed };
  }

  /**
   * Removes the next request that can be placed and can still meet its deadline.
   *
   * @example
   * const { entry, shed } = queue.take(now, (importance, isMinimumShareTurn) =>
   *   pool.hasRoom(reserve.ruleFor(importance, isMinimumShareTurn), now),
   * );
   */
  take(now: EpochMs, canPlace: PlacementTest = () => true): TakeResult {
    const shed: ShedEntry[] = [];
    for (;;) {
      const entry = this.#discipline.take(canPlace);
      if (!entry) return { shed };
      const late = this.#checkDeadline(entry, 0, now);
      if (!late) {
        this.#recordTake(entry, now);
        return { entry, shed };
      }
      shed.push(late);
    }
  }

  /** Sheds all requests whose deadline has passed; call it at short intervals. */
  expire(now: EpochMs): ShedEntry[] {
    return this.#discipline
      .entries()
      .filter((entry) => entry.deadline <= now)
      .flatMap((entry) => this.#discipline.remove(entry.id) ?? [])
      .map((entry) => ({ entry, reason: 'deadline-passed' }));
  }

  /** Earliest deadline of all waiting requests; {@link expire} has nothing to do before it. */
  nextDeadline(): EpochMs | undefined {
    const deadlines = this.#discipline.entries().map((entry) => entry.deadline);
    return deadlines.length === 0 ? undefined : Math.min(...deadlines);
  }

  /** Removes a request whose caller disconnected. */
  remove(id: number): boolean {
    return this.#discipline.remove(id) !== undefined;
  }

  /** Removes all requests when the service or the router stops. */
  clear(): QueueEntry[] {
    const entries = this.#discipline.entries();
    for (const entry of entries) this.#discipline.remove(entry.id);
    return entries;
  }

  /**
   * Expected wait of a request if it were added now, in milliseconds; 0 while no rate is known. The
   * drain rate of its own lane is used if it was measured: it accounts for the more important
   * requests that arrive later but are served first.
   */
  predictWaitMs(entry: QueueEntry, now: EpochMs): number {
    const laneRate = this.#laneDrains.get(this.#discipline.laneOf(entry))?.perMs(now);
    if (laneRate !== undefined) return this.#discipline.countAheadInLane(entry) / laneRate;
    const rate = this.#drain.perMs(now);
    return rate === undefined ? 0 : this.#discipline.countAhead(entry) / rate;
  }

  /** Milliseconds until the current backlog has drained, for `Retry-After`. */
  retryAfterMs(now: EpochMs): number {
    const rate = this.#drain.perMs(now);
    if (rate === undefined) return DEFAULT_RETRY_AFTER_MS;
    const ms = Math.ceil(this.size / rate);
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms));
  }

  #checkDeadline(entry: QueueEntry, waitMs: number, now: EpochMs): ShedEntry | undefined {
    if (entry.deadline <= now) return { entry, reason: 'deadline-passed' };
    if (!this.#refuseUnreachable) return undefined;
    if (now + waitMs + (entry.serviceMs ?? 0) <= entry.deadline) return undefined;
    return { entry, reason: 'deadline-unreachable', retryAfterMs: this.retryAfterMs(now) };
  }

  #shedOverflow(now: EpochMs): ShedEntry[] {
    const shed: ShedEntry[] = [];
    while (this.size > this.#maxSize) {
      const victim = this.#discipline.leastValuable();
      if (!victim) break;
      this.#discipline.remove(victim.id);
      shed.push({ entry: victim, reason: 'overloaded', retryAfterMs: this.retryAfterMs(now) });
    }
    return shed;
  }

  #recordTake(entry: QueueEntry, now: EpochMs): void {
    if (this.size === 0) this.#drain.reset();
    else this.#drain.record(now);
    const lane = this.#discipline.laneOf(entry);
    const drain = this.#laneDrains.get(lane) ?? new DrainRate();
    this.#laneDrains.set(lane, drain);
    const laneIsEmpty = !this.#discipline.entries().some((other) => this.#isInLane(other, lane));
    if (laneIsEmpty) drain.reset();
    else drain.record(now);
  }

  #isInLane(entry: QueueEntry, lane: string): boolean {
    return this.#discipline.laneOf(entry) === lane;
  }
}
