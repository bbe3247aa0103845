/** Text form of tickets, as sent to callers. */

import type { AccountId, TicketId } from '@flamingocourse/core';

/** A ticket and the account that it was issued to. */
export interface IssuedTicket {
  ticket: TicketId;
  account: AccountId;
}

/**
 * Formats and verifies tickets. Anyone who has the text of a ticket may fetch the answer of its
 * request.
 */
export abstract class TicketCodec {
  /** Formats a ticket as text. */
  abstract format(ticket: TicketId, account: AccountId): string;
  /** Parses a text. Returns undefined when this fleet did not issue it. */
  abstract parse(text: string): IssuedTicket | undefined;
}
