/** A claim binds a caller's idempotency key to the only ticket that may be billed for it. */

import type { EpochMs, TicketId } from './ids.js';

/** Owner of a key: the ticket that may run (non-idempotent) or may be billed (idempotent). */
export interface Claim {
  ticket: TicketId;
  /** Digest of method, path and body. The same key with another digest is refused. */
  bodyDigest: string;
  at: EpochMs;
  /** The ticket has ended without a bill, so another ticket may claim the key. */
  isGivenUp?: true;
}

/** Value of the platform object `claims/{page}`; claims are keyed by digest of account and key. */
export interface ClaimPage {
  page: number;
  claims: Record<string, Claim>;
}
