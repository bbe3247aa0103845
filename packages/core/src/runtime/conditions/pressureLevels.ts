/** Order of the pressure levels of an instance. */

import type { PressureLevel } from '../../types/fleetConditions.js';

/** From the most to the least processor time left; peers send the position of a level. */
export const pressureLevels: readonly PressureLevel[] = ['calm', 'pressed', 'overloaded'];

/**
 * Compares two levels: positive if the first is the higher pressure.
 *
 * @example
 * comparePressure('overloaded', 'calm'); // 2
 */
export function comparePressure(a: PressureLevel, b: PressureLevel): number {
  return pressureLevels.indexOf(a) - pressureLevels.indexOf(b);
}
