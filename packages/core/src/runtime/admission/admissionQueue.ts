/** Bounded queue of the requests of one service that wait for a backend server. */

import type { EpochMs } from '../../types/ids.js';
import type { PlacementTest, QueueDiscipline, QueueEntry } from './queueDiscipline.js';
import { DrainRate } from './drainRate.js';
import { ImportanceDeadlineDiscipline } from './queueDiscipline.js';

/** Options of a queue. */
export interface AdmissionQueueOptions {
  /** Most requests that wait at once. */
  maxSize: number;
  /** @default ImportanceDeadlineDiscipline */
  discipline?: QueueDiscipline;
  /** Whether hopeless requests are refused when they come. @default true */
  refuseUnreachable?: boolean;
}

/** Why a waiting request is given up. None of them was sent, so all are `not-run`. */
export type ShedReason = 'overloaded' | 'deadline-unreachable' | 'deadline-passed';

/** A waiting or arriving request that gets its final refusal now. */
export interface ShedEntry {
  entry: QueueEntry;
  reason: ShedReason;
  /** Milliseconds after which a retry can help; absent where it cannot. */
  retryAfterMs?: number;
}

/** Answer to an offered request. `shed` may hold the request itself or a less valuable one. */
export interface OfferResult {
  queued: boolean;
  shed: ShedEntry[];
}

/** Next request, with those that were found to be too late on the way. */
export interface TakeResult {
  entry?: QueueEntry;
  shed: ShedEntry[];
}

const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 30_000;
/** Retry time while no drain rate is known, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Waiting requests of one service. Every request that it gives up is returned at once, so that its
 * caller gets a final refusal and never waits for nothing.
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

  /** Adds a request, or refuses it or a less valuable one. */
  offer(entry: QueueEntry, now: EpochMs): OfferResult {
    const late = this.#judge(entry, this.predictWaitMs(entry, now), now);
    if (late) return { queued: false, shed: [late] };
    this.#discipline.add(entry);
    const shed = this.#shedOverflow(now);
    return { queued: !shed.some((other) => other.entry.id === entry.id), shed };
  }

  /**
   * Takes the next request that can still be answered in time, among those that can be placed.
   *
   * @example
   * const { entry, shed } = queue.take(now, (importance, owed) => pool.hasRoom(reserve.ruleFor(importance, owed), now));
   */
  take(now: EpochMs, canPlace: PlacementTest = () => true): TakeResult {
    const shed: ShedEntry[] = [];
    for (;;) {
      const entry = this.#discipline.take(canPlace);
      if (!entry) return { shed };
      const late = this.#judge(entry, 0, now);
      if (!late) {
        this.#recordTake(entry, now);
        return { entry, shed };
      }
      shed.push(late);
    }
  }

  /** Gives up all requests whose deadline has passed; to be called at short intervals. */
  expire(now: EpochMs): ShedEntry[] {
    return this.#discipline
      .entries()
      .filter((entry) => entry.deadline <= now)
      .flatMap((entry) => this.#discipline.remove(entry.id) ?? [])
      .map((entry) => ({ entry, reason: 'deadline-passed' }));
  }

  /** Earliest deadline of all waiting requests, at which {@link expire} has work to do. */
  nextDeadline(): EpochMs | undefined {
    const deadlines = this.#discipline.entries().map((entry) => entry.deadline);
    return deadlines.length === 0 ? undefined : Math.min(...deadlines);
  }

  /** Removes a request whose caller went away. */
  remove(id: number): boolean {
    return this.#discipline.remove(id) !== undefined;
  }

  /** Removes all requests, when the service or the router stops. */
  clear(): QueueEntry[] {
    const entries = this.#discipline.entries();
    for (const entry of entries) this.#discipline.remove(entry.id);
    return entries;
  }

  /**
   * Expected wait of a request in milliseconds, were it added now; 0 while no rate is known. Judged
   * by the lane's own rate where that was measured: it includes the more important requests that
   * keep coming after this one and are served before it.
   */
  predictWaitMs(entry: QueueEntry, now: EpochMs): number {
    const laneRate = this.#laneDrains.get(this.#discipline.laneOf(entry))?.perMs(now);
    if (laneRate !== undefined) return this.#discipline.countAheadInLane(entry) / laneRate;
    const rate = this.#drain.perMs(now);
    return rate === undefined ? 0 : this.#discipline.countAhead(entry) / rate;
  }

  /** Milliseconds after which the present backlog is worked off, for `Retry-After`. */
  retryAfterMs(now: EpochMs): number {
    const rate = this.#drain.perMs(now);
    if (rate === undefined) return DEFAULT_RETRY_AFTER_MS;
    const ms = Math.ceil(this.size / rate);
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms));
  }

  #judge(entry: QueueEntry, waitMs: number, now: EpochMs): ShedEntry | undefined {
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
