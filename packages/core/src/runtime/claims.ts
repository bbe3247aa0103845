/** Reducer of claim pages: which ticket owns a caller's idempotency key. */

import type { Claim, ClaimPage } from '../types/claim.js';
import type { EpochMs, TicketId } from '../types/ids.js';

/** Answer to a claim, with the page as it then is. */
export interface ClaimResult {
  page: ClaimPage;
  answer: { type: 'own' } | { type: 'other'; ticket: TicketId } | { type: 'other-body' };
}

/** Creates an empty page. */
export function createClaimPage(page: number): ClaimPage {
  return { page, claims: {} };
}

/**
 * Binds a key to a ticket unless another has it. Claiming again with the same ticket is `own`, so
 * a claim whose reply was lost can be repeated.
 *
 * @example
 * claim(page, keyDigest, { ticket, bodyDigest, at: now }).answer;
 */
export function claim(page: ClaimPage, keyDigest: string, wanted: Claim): ClaimResult {
  const held = page.claims[keyDigest];
  if (!held) return { page: withClaim(page, keyDigest, wanted), answer: { type: 'own' } };
  if (held.bodyDigest !== wanted.bodyDigest) return { page, answer: { type: 'other-body' } };
  if (held.isGivenUp) return { page: withClaim(page, keyDigest, wanted), answer: { type: 'own' } };
  if (sameTicket(held.ticket, wanted.ticket)) return { page, answer: { type: 'own' } };
  return { page, answer: { type: 'other', ticket: held.ticket } };
}

/**
 * Moves a claim from a ticket that provably was not billed. Of several routers that try, the first
 * wins and the others learn the new owner.
 */
export function takeOver(
  page: ClaimPage,
  keyDigest: string,
  from: TicketId,
  to: TicketId,
  now: EpochMs,
): ClaimResult {
  const held = page.claims[keyDigest];
  // a pruned claim cannot be taken over: its body digest is gone, so it must be claimed anew.
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
 * States that a ticket which may own a key has ended without a bill. Where the key has no owner the
 * statement is kept all the same: a claim of that ticket whose fate is not known can't come after it.
 *
 * @example
 * giveUp(page, keyDigest, { ticket, bodyDigest, at: now });
 */
export function giveUp(page: ClaimPage, keyDigest: string, ended: Claim): ClaimPage {
  const held = page.claims[keyDigest];
  const isOwn = held !== undefined && sameTicket(held.ticket, ended.ticket);
  const isOwned = held !== undefined && !held.isGivenUp;
  // what another gave up is written over: this ticket's claim may be on its way to the same page.
  if (isOwn ? !isOwned : isOwned) return page;
  return withClaim(page, keyDigest, { ...ended, isGivenUp: true });
}

/** Drops claims made before a time; what is younger always stays. */
export function pruneClaims(page: ClaimPage, before: EpochMs): ClaimPage {
  const entries = Object.entries(page.claims);
  const kept = entries.filter(([, held]) => held.at >= before);
  if (kept.length === entries.length) return page;
  return { ...page, claims: Object.fromEntries(kept) };
}

/** Whether two ids name the same ticket. */
export function sameTicket(left: TicketId, right: TicketId): boolean {
  return left.issuer === right.issuer && left.number === right.number;
}

/**
 * A ticket as text, for logs and as a key in memory.
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
