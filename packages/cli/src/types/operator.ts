/** The operator who runs a command, with the store, clock and id generator that it uses. */

import type { OperatorStore } from './operatorStore.js';

/** Context that every operation on the platform receives. */
export interface Operator {
  store: OperatorStore;
  /** Name written into the audit trail. */
  who: string;
  /** Number of ledger pages; must equal the value in the routers' settings. */
  ledgerPages: number;
  /** Current time in milliseconds since the epoch. */
  now(): number;
  /** Returns a new unique id. */
  newId(): string;
}
