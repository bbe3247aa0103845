/** Processor time that a process used lately, against what it used while it was late. */

/** Milliseconds over which the use is measured. */
const WINDOW_MS = 1_000;
/** Milliseconds for which the use of a late process is remembered; its share may change. */
const MEMORY_MS = 30_000;
/** Fraction of that use from which a process counts as near its limit. */
const NEAR = 0.9;

interface Sample {
  /** Processor time since the start of the process. */
  usedMs: number;
  at: number;
}

/**
 * Learns the share of a processor at which a process is late, because a process that gets only a part
 * of a processor isn't told so.
 *
 * @example
 * use.observe(1_000 * process.cpuUsage().user, clock.now());
 * if (isLate) use.recordLate(clock.now());
 * use.isNearLimit(clock.now());
 */
export class ProcessorUse {
  #samples: Sample[] = [];
  #late: { share: number; at: number } | undefined;

  /** @param usedMs processor time since the start of the process, in milliseconds. */
  observe(usedMs: number, now: number): void {
    this.#samples.push({ usedMs, at: now });
    // the oldest sample that is kept lies before the window, so that the window is covered.
    while ((this.#samples[1]?.at ?? now) < now - WINDOW_MS) this.#samples.shift();
  }

  /** Processor time per elapsed time, lately; undefined before it is known. */
  get share(): number | undefined {
    const first = this.#samples[0];
    const last = this.#samples.at(-1);
    if (!first || !last || last.at === first.at) return undefined;
    return (last.usedMs - first.usedMs) / (last.at - first.at);
  }

  /** Records that requests are late, so that the present share is what the process can get. */
  recordLate(now: number): void {
    const { share } = this;
    if (share === undefined) return;
    const before = this.#isRemembered(now) ? (this.#late?.share ?? 0) : 0;
    this.#late = { share: Math.max(share, before), at: now };
  }

  /** Whether the process uses about as much as when it was late. */
  isNearLimit(now: number): boolean {
    const { share } = this;
    if (share === undefined || !this.#late || !this.#isRemembered(now)) return false;
    return share >= NEAR * this.#late.share;
  }

  #isRemembered(now: number): boolean {
    return this.#late !== undefined && now - this.#late.at <= MEMORY_MS;
  }
}
