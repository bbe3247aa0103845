/** What this instance reports about itself to the others. */

import type { PressureLevel } from '@flamingocourse/core';
import { PressureSource } from '../types/fleetConditions.js';

/**
 * Combines the pressure of the instance with whether it is in rotation.
 *
 * @example
 * conditions.setPressureSource(new ReportedPressure(pressure, () => !rotation.isOut));
 */
export class ReportedPressure extends PressureSource {
  readonly #pressure: PressureSource;
  readonly #isInRotation: () => boolean;

  constructor(pressure: PressureSource, isInRotation: () => boolean) {
    super();
    this.#pressure = pressure;
    this.#isInRotation = isInRotation;
  }

  override pressure(now: number): PressureLevel {
    return this.#pressure.pressure(now);
  }

  override isReady(): boolean {
    return this.#isInRotation();
  }
}
