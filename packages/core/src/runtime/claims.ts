/** Reducer of claim pages: which ticket owns a caller's idempotency key. */

import type { Claim, ClaimPage } from '../types/claim.js';
import type { EpochMs, TicketId } from '../types/ids.js';
import { entryOf } from '../utils/table.js';

/** Answer to a claim, with the resulting page. */
export interface ClaimResult {
  page: ClaimPage;
  answer: { type: 'own' } | { type: 'other'; ticket: TicketId } | { type: 'other-body' };
}

/** Creates an empty page. */
export function createClaimPage(page: number): ClaimPage {
  return { page, claims: {} };
}

/**
 * Binds a key to a ticket unless another ticket owns the key. Claiming it again with the same
 * ticket answers `own`, so a claim whose reply was lost can be repeated.
 *
 * @example
 * claim(page, keyDigest, { ticket, bodyDigest, at: now }).answer;
 */
export function claim(page: ClaimPage, keyDigest: string, wanted: Claim): ClaimResult {
  const held = entryOf(page.claims, keyDigest);
  if (!held) return { page: withClaim(page, keyDigest, wanted), answer: { type: 'own' } };
  if (held.bodyDigest !== wanted.bodyDigest) return { page, answer: { type: 'other-body' } };
  if (held.isGivenUp) return { page: withClaim(page, keyDigest, wanted), answer: { type: 'own' } };
  if (sameTicket(held.ticket, wanted.ticket)) return { page, answer: { type: 'own' } };
  return { page, answer: { type: 'other', ticket: held.ticket } };
}

/**
 * Moves a claim away from a ticket that is known not to have been billed. If several routers try,
 * the first one succeeds and the others receive the new owner.
 */
export function takeOver(
  page: ClaimPage,
  keyDigest: string,
  from: TicketId,
  to: TicketId,
  now: EpochMs,
): ClaimResult {
  const held = entryOf(page.claims, keyDigest);
  // A pruned claim cannot be taken over because its body digest is gone. It must be claimed again.
  if (!held) return { page, answer: { type: 'other', ticket: from } };
  if (sameTicket(held.ticket, to)) return { page, answer: { type: 'own' } };
  if (!sameTicket(held.ticket, from)) {
    return { page, answer: { type: 'other', ticket: held.ticket } };
  }
  const { bodyDigest } = held;
  const moved = { ticket: to, bodyDigest, at: now };
  return { page: withClaim(page, keyDigest, moved), answer: { type: 'own' } };
}

/**
 * Records that a ticket which may own a key has ended without a bill. The record is also stored if
 * the key has no owner: an earlier claim of that ticket may still be in flight, and must not take
 * effect afterwards.
 *
 * @example
 * releaseClaim(page, keyDigest, { ticket, bodyDigest, at: now });
 */
export function releaseClaim(page: ClaimPage, keyDigest: string, ended: Claim): ClaimPage {
  const held = entryOf(page.claims, keyDigest);
  const isOwn = held !== undefined && sameTicket(held.ticket, ended.ticket);
  const isOwned = held !== undefined && !held.isGivenUp;
  // A key that another ticket released is overwritten: this ticket's claim may still be in flight.
  if (isOwn ? !isOwned : isOwned) return page;
  return withClaim(page, keyDigest, { ...ended, isGivenUp: true });
}

/** Removes claims made before the given time. */
export function pruneClaims(page: ClaimPage, before: EpochMs): ClaimPage {
  const entries = Object.entries(page.claims);
  const kept = entries.filter(([, held]) => held.at >= before);
  if (kept.length === entries.length) return page;
  return { ...page, claims: Object.fromEntries(kept) };
}

/** Whether two ids identify the same ticket. */
export function sameTicket(left: TicketId, right: TicketId): boolean {
  return left.issuer === right.issuer && left.number === right.number;
}

/**
 * Formats a ticket id as text, for logs and as a key in memory.
 *
 * @example
 * ticketName({ issuer: 'dc-a/router-1/1', number: 17 }); // 'dc-a/router-1/1#17'
 */
export function ticketName({ issuer, number }: TicketId): string {
  return `${issuer}#${String(number)}`;
}

function withClaim(page: ClaimPage, keyDigest: string, held: Claim): ClaimPage {
  return { ...page, claims: { ...page.claims, [keyDigest]: held } };
}
