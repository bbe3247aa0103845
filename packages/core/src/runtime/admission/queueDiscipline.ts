/** Queue disciplines: the order in which waiting requests are served and shed. */

import type { Importance } from '../../types/declaration.js';
import type { EpochMs } from '../../types/ids.js';

/** A request that waits for a backend server. */
export interface QueueEntry {
  id: number;
  importance: Importance;
  /** Latest time at which the whole answer is still useful. */
  deadline: EpochMs;
  /** Time by which the first token meets the target of the class. @default deadline */
  targetAt?: EpochMs;
  /** Expected service time, without waiting, in milliseconds. @default 0 */
  serviceMs?: number;
}

export type QueueDisciplineName = 'fifo' | 'importance-deadline';

/**
 * Whether a request can be placed now. `isMinimumShareTurn` means that it is due by the minimum share
 * of its importance, so no reserve applies.
 */
export type PlacementTest = (
  importance: Importance,
  isMinimumShareTurn: boolean,
  entry: QueueEntry,
) => boolean;

/** An ordered set of waiting requests. */
export abstract class QueueDiscipline {
  abstract readonly name: QueueDisciplineName;
  abstract get size(): number;
  abstract add(entry: QueueEntry): void;
  /** Removes and returns the next request that can be placed. */
  abstract take(canPlace: PlacementTest): QueueEntry | undefined;
  abstract remove(id: number): QueueEntry | undefined;
  /** The request to shed when the queue is full. */
  abstract leastValuable(): QueueEntry | undefined;
  /** Number of requests that would be served before the given one if it were added now. */
  abstract countAhead(entry: QueueEntry): number;
  /** The same, counting only requests of its lane; a lane is served in a fixed order. */
  abstract countAheadInLane(entry: QueueEntry): number;
  /** Name of the lane in which a request waits. */
  abstract laneOf(entry: QueueEntry): string;
  abstract entries(): QueueEntry[];
}

/** First in, first out; sheds the newest request. The baseline for comparisons. */
export class FifoDiscipline extends QueueDiscipline {
  override readonly name = 'fifo';
  readonly #queue: QueueEntry[] = [];

  override get size(): number {
    return this.#queue.length;
  }

  override add(entry: QueueEntry): void {
    this.#queue.push(entry);
  }

  override take(canPlace: PlacementTest): QueueEntry | undefined {
    const index = this.#queue.findIndex((entry) => canPlace(entry.importance, false, entry));
    return index < 0 ? undefined : this.#queue.splice(index, 1)[0];
  }

  override remove(id: number): QueueEntry | undefined {
    return removeById(this.#queue, id);
  }

  override leastValuable(): QueueEntry | undefined {
    return this.#queue.at(-1);
  }

  override countAhead(): number {
    return this.#queue.length;
  }

  override countAheadInLane(): number {
    return this.#queue.length;
  }

  override laneOf(): string {
    return 'all';
  }

  override entries(): QueueEntry[] {
    return [...this.#queue];
  }
}

/** From most to least important. */
const importanceOrder: readonly Importance[] = ['first', 'standard', 'background'];

/** Minimum fraction of takes, and of the queue, that each importance keeps under overload. */
export type MinimumShares = Record<Importance, number>;

export const defaultMinimumShares: MinimumShares = {
  first: 0,
  standard: 0.1,
  background: 0.05,
};

/** Waiting requests of one importance. */
interface Lane {
  importance: Importance;
  /** Sorted by deadline, earliest first. */
  queue: QueueEntry[];
  /** Takes from other lanes since this lane was last served, counted while it had requests. */
  passedOver: number;
}

/**
 * Serves more important requests first and, at equal importance, the earliest deadline first.
 *
 * Less important lanes keep a minimum share of takes and of the queue, so that under overload they
 * are slow but never starve. Aging is not used: under lasting overload every request gets old, and
 * the order becomes first in, first out, just when importance matters.
 */
export class ImportanceDeadlineDiscipline extends QueueDiscipline {
  override readonly name = 'importance-deadline';
  readonly #lanes: Lane[];
  readonly #shares: MinimumShares;

  constructor(shares: MinimumShares = defaultMinimumShares) {
    super();
    this.#shares = shares;
    this.#lanes = importanceOrder.map((importance) => ({ importance, queue: [], passedOver: 0 }));
  }

  override get size(): number {
    return this.#lanes.reduce((sum, lane) => sum + lane.queue.length, 0);
  }

  override add(entry: QueueEntry): void {
    const { queue } = this.#lane(entry.importance);
    queue.splice(insertionIndex(queue, entry), 0, entry);
  }

  override take(canPlace: PlacementTest): QueueEntry | undefined {
    const lane = this.#nextLane(canPlace);
    if (!lane) return undefined;
    for (const other of this.#lanes) {
      if (other !== lane && other.queue.length > 0) other.passedOver += 1;
    }
    lane.passedOver = 0;
    return lane.queue.shift();
  }

  override remove(id: number): QueueEntry | undefined {
    for (const lane of this.#lanes) {
      const entry = removeById(lane.queue, id);
      if (entry) return entry;
    }
    return undefined;
  }

  override leastValuable(): QueueEntry | undefined {
    const size = this.size;
    for (const lane of this.#lanes.toReversed()) {
      const kept = Math.floor(size * this.#shares[lane.importance]);
      if (lane.queue.length > kept) return lane.queue.at(-1);
    }
    return undefined;
  }

  override countAhead(entry: QueueEntry): number {
    let ahead = 0;
    for (const lane of this.#lanes) {
      if (lane.importance === entry.importance) return ahead + insertionIndex(lane.queue, entry);
      ahead += lane.queue.length;
    }
    return ahead;
  }

  override countAheadInLane(entry: QueueEntry): number {
    return insertionIndex(this.#lane(entry.importance).queue, entry);
  }

  override laneOf(entry: QueueEntry): string {
    return entry.importance;
  }

  override entries(): QueueEntry[] {
    return this.#lanes.flatMap((lane) => lane.queue);
  }

  #nextLane(canPlace: PlacementTest): Lane | undefined {
    const waiting = this.#lanes.filter((lane) => lane.queue.length > 0);
    const dueLane = waiting.findLast(
      (lane) => this.#isDueByMinimumShare(lane) && mayTakeFirst(lane, true, canPlace),
    );
    return dueLane ?? waiting.find((lane) => mayTakeFirst(lane, false, canPlace));
  }

  #isDueByMinimumShare(lane: Lane): boolean {
    const share = this.#shares[lane.importance];
    return share > 0 && (lane.passedOver + 1) * share >= 1;
  }

  #lane(importance: Importance): Lane {
    const lane = this.#lanes.find((candidate) => candidate.importance === importance);
    if (!lane) throw new RangeError(`unknown importance "${importance}"; use a declared one`);
    return lane;
  }
}

/**
 * Creates a discipline by name.
 *
 * @example
 * const discipline = createQueueDiscipline('importance-deadline');
 */
export function createQueueDiscipline(name: QueueDisciplineName): QueueDiscipline {
  switch (name) {
    case 'fifo':
      return new FifoDiscipline();
    case 'importance-deadline':
      return new ImportanceDeadlineDiscipline();
  }
}

function mayTakeFirst(
  { importance, queue: [first] }: Lane,
  isMinimumShareTurn: boolean,
  canPlace: PlacementTest,
): boolean {
  return first !== undefined && canPlace(importance, isMinimumShareTurn, first);
}

function insertionIndex(queue: QueueEntry[], entry: QueueEntry): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const other = queue[middle];
    if (other && other.deadline <= entry.deadline) low = middle + 1;
    else high = middle;
  }
  return low;
}

function removeById(queue: QueueEntry[], id: number): QueueEntry | undefined {
  const index = queue.findIndex((entry) => entry.id === id);
  return index < 0 ? undefined : queue.splice(index, 1)[0];
}
