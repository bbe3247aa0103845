/** What it costs to run a generation at one server, in milliseconds until its first event. */

import type { ServerId, Tokens } from './ids.js';

/** Parts of the sum by which servers are compared. */
export interface PlacementCost {
  server: ServerId;
  /** Tokens of the prompt that the server is believed to keep. */
  keptTokens: Tokens;
  /** Reading the rest of the prompt, at the speed of the server now. */
  readMs: number;
  /** Waiting for a slot. */
  waitMs: number;
  /** Copying what another server keeps; 0 without a copy. */
  copyMs: number;
  /** Reading again, later, what the placement drives out of the server's memory. */
  displacedMs: number;
  totalMs: number;
}
