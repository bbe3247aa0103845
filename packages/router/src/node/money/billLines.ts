/** Journal lines that bill one request. */

import type { Bill, EpochMs, JournalChange, Outcome, TicketId, Tokens } from '@flamingocourse/core';
import type { BillDetails, Reservation } from '../../types/money.js';

/** Largest answer body stored for retries, in characters of base64. */
const MAX_OUTCOME_BODY = 32_768;

/**
 * Creates the bill, at most the reserved amount, and after it the outcome when there is one. The
 * bill comes first: an outcome marks the ticket as done, and a done ticket cannot be billed.
 */
export function billChanges(
  reservation: Reservation,
  ticket: TicketId,
  details: BillDetails,
  now: EpochMs,
  outcome?: Outcome,
): JournalChange[] {
  const bill: Bill = {
    ...details,
    cost: boundedCost(details.cost, reservation.amount),
    holder: ticket.issuer,
    ticket: ticket.number,
    account: reservation.account,
    workClass: reservation.workClass,
    at: now,
  };
  if (!outcome) return [{ type: 'bill', bill }];
  return [
    { type: 'bill', bill },
    { type: 'outcome', outcome: boundedOutcome(outcome, ticket) },
  ];
}

/**
 * Rounds a cost up to whole tokens and limits it to the reserved amount. The journal refuses other
 * amounts, and a refused line would block all lines after it.
 */
function boundedCost(cost: Tokens, most: Tokens): Tokens {
  return Math.max(0, Math.min(Math.ceil(cost), most));
}

function boundedOutcome(outcome: Outcome, ticket: TicketId): Outcome {
  const own = { ...outcome, holder: ticket.issuer, ticket: ticket.number };
  if ((own.body?.length ?? 0) <= MAX_OUTCOME_BODY) return own;
  const { holder, status, contentType, at } = own;
  return { holder, ticket: own.ticket, status, contentType, at };
}
