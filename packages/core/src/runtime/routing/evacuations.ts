/** Data centres that an operator has evacuated, as far as one instance knows. */

import type { DataCentreId, EpochMs } from '../../types/ids.js';

/** An evacuation in force. */
export interface Evacuation {
  dataCentre: DataCentreId;
  /** When this instance learned of it. */
  since: EpochMs;
}

/**
 * While a data centre is evacuated, nothing new is sent to its servers; what runs there goes on.
 * Only the store's word begins or ends an evacuation, so one that is known stays in force while the
 * store cannot be reached.
 *
 * @example
 * const evacuations = new Evacuations();
 * evacuations.begin('dc-a', now);
 * evacuations.has('dc-a'); // true
 */
export class Evacuations {
  readonly #inForce = new Map<DataCentreId, EpochMs>();

  /** Evacuations in force. */
  get all(): Evacuation[] {
    return [...this.#inForce].map(([dataCentre, since]) => ({ dataCentre, since }));
  }

  has(dataCentre: DataCentreId): boolean {
    return this.#inForce.has(dataCentre);
  }

  /** Records that an evacuation is in force. Returns whether it was not known. */
  begin(dataCentre: DataCentreId, now: EpochMs): boolean {
    if (this.#inForce.has(dataCentre)) return false;
    this.#inForce.set(dataCentre, now);
    return true;
  }

  /** Records that an evacuation has ended; returns how long it was known, in milliseconds. */
  end(dataCentre: DataCentreId, now: EpochMs): number | undefined {
    const since = this.#inForce.get(dataCentre);
    this.#inForce.delete(dataCentre);
    return since === undefined ? undefined : now - since;
  }
}
