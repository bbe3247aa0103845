/** Event loop of a discrete-event simulation in virtual time. */

interface TimedEvent {
  at: number;
  order: number;
  run: () => void;
}

/**
 * Runs callbacks in the order of their virtual times, and in insertion order for equal times.
 *
 * @example
 * const loop = new VirtualLoop();
 * loop.after(10, () => { trace.push(loop.now); });
 * loop.runUntil(1_000);
 */
export class VirtualLoop {
  now = 0;
  readonly #heap: TimedEvent[] = [];
  #order = 0;

  /** Schedules a callback; a negative delay counts as 0. */
  after(ms: number, run: () => void): void {
    this.#order += 1;
    this.#push({ at: this.now + Math.max(0, ms), order: this.#order, run });
  }

  /** Runs all callbacks up to and including a time, in milliseconds. */
  runUntil(end: number): void {
    for (;;) {
      const next = this.#heap[0];
      if (!next || next.at > end) break;
      this.#pop();
      this.now = next.at;
      next.run();
    }
    this.now = end;
  }

  #push(event: TimedEvent): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      const above = heap[parent];
      if (!above || !isBefore(event, above)) break;
      heap[index] = above;
      index = parent;
    }
    heap[index] = event;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const child = this.#smallerChild(index);
      const below = heap[child];
      if (!below || !isBefore(below, last)) break;
      heap[index] = below;
      index = child;
    }
    heap[index] = last;
  }

  #smallerChild(index: number): number {
    const left = this.#heap[2 * index + 1];
    const right = this.#heap[2 * index + 2];
    return left && right && isBefore(right, left) ? 2 * index + 2 : 2 * index + 1;
  }
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
