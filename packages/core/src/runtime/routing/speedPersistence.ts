/** Learns how fast speed reports of servers become outdated. */

/** Upper limits of the classes of time between two reports, in milliseconds. */
const GAP_LIMITS_MS = [50, 100, 200, 400, 800, 1_600, 3_200] as const;
/** Time constant that is assumed until reports have been compared, in milliseconds. */
const ASSUMED_TIME_CONSTANT_MS = 500;
/**
 * Weight of the assumption, in squared deviations. A server that is 2.5 times slower for 15 % of the
 * time has a variance of 0.29, so the assumption counts as about three compared reports.
 */
const ASSUMPTION_WEIGHT = 1;
/**
 * Factor by which earlier comparisons of a class lose weight with each new one. With 0.995, turns of
 * 30 s were forgotten within a turn: persistence 0.76 after 300 ms, of 0.99.
 */
const FORGETTING = 0.999;

interface Point {
  ageMs: number;
  value: number;
}

const START: Point = { ageMs: 0, value: 1 };
/** What is assumed at the centre of each class. */
const ASSUMED_POINTS: readonly Point[] = GAP_LIMITS_MS.map((limitMs, index) => {
  const ageMs = (limitMs + (GAP_LIMITS_MS[index - 1] ?? 0)) / 2;
  return { ageMs, value: Math.exp(-ageMs / ASSUMED_TIME_CONSTANT_MS) };
});

interface GapClass {
  /** Products of the deviations of both reports. */
  together: number;
  /** Squared deviations of the earlier report. */
  earlier: number;
}

/**
 * The fraction of a deviation from the mean that is expected to remain after some time. Shared by
 * all servers of a service, because one server sends an instance only a few reports a second.
 *
 * @example
 * const persistence = new SpeedPersistence();
 * persistence.compare({ earlier: 1.3, later: 1.3, gapMs: 40 });
 * persistence.at(40); // close to 1
 */
export class SpeedPersistence {
  readonly #classes: GapClass[] = GAP_LIMITS_MS.map(() => ({ together: 0, earlier: 0 }));

  /** Computed once after each change, as choices are far more frequent than reports. */
  #points: Point[] | undefined;

  /** Records the deviations from the mean in two reports of one server. */
  compare({ earlier, later, gapMs }: { earlier: number; later: number; gapMs: number }): void {
    const found = this.#classes[GAP_LIMITS_MS.findIndex((limitMs) => gapMs < limitMs)];
    if (!found) return;
    this.#points = undefined;
    found.together = found.together * FORGETTING + earlier * later;
    found.earlier = found.earlier * FORGETTING + earlier * earlier;
  }

  /** Fraction of a deviation that remains after `ageMs`, from 0 to 1; never rises with the age. */
  at(ageMs: number): number {
    this.#points ??= this.#learnedPoints();
    let before = START;
    for (const point of this.#points) {
      if (ageMs <= point.ageMs) return interpolate(before, point, ageMs);
      before = point;
    }
    return before.value * Math.exp((before.ageMs - ageMs) / ASSUMED_TIME_CONSTANT_MS);
  }

  #learnedPoints(): Point[] {
    let most = 1;
    return ASSUMED_POINTS.map(({ ageMs, value: assumed }, index) => {
      const { together, earlier } = this.#classes[index] ?? { together: 0, earlier: 0 };
      const value = (together + ASSUMPTION_WEIGHT * assumed) / (earlier + ASSUMPTION_WEIGHT);
      most = Math.min(most, Math.max(0, value));
      return { ageMs, value: most };
    });
  }
}

function interpolate(from: Point, to: Point, ageMs: number): number {
  const part = Math.max(0, ageMs - from.ageMs) / (to.ageMs - from.ageMs);
  return from.value + (to.value - from.value) * part;
}
