/** Who works with the platform, and how long ago "now" is. */

import type { OperatorStore } from './operatorStore.js';

/** What every operation on the platform is given. */
export interface Operator {
  store: OperatorStore;
  /** Name written into the audit trail. */
  who: string;
  /** Pages of the ledger; the same as in the routers' settings. */
  ledgerPages: number;
  /** Present time in milliseconds since the epoch. */
  now(): number;
  /** Gives an id that was never given before. */
  newId(): string;
}
