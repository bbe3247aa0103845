/** Text form of tickets, as callers see them. */

import type { AccountId, TicketId } from '@flamingocourse/core';

/** A ticket together with the account that it was issued to. */
export interface IssuedTicket {
  ticket: TicketId;
  account: AccountId;
}

/** Writes and checks tickets. Possession of the text is the right to ask for its answer. */
export abstract class TicketCodec {
  abstract format(ticket: TicketId, account: AccountId): string;
  /** Gives undefined for a text that this fleet did not issue. */
  abstract parse(text: string): IssuedTicket | undefined;
}
