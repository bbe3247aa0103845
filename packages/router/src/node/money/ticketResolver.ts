/** Looks up the outcome of a ticket that another incarnation issued. */

import type {
  BillSegment,
  IncarnationId,
  JournalHolder,
  JournalState,
  Outcome,
  TicketId,
} from '@flamingocourse/core';
import type { Fleet } from '../../types/fleet.js';
import type { ObjectStore } from '../../types/moneyPorts.js';
import type { TicketResolution } from '../../types/money.js';
import { hasInterval, entryOf } from '@flamingocourse/core';

/** Segments read for one ticket, newest first. An older answer is reported as `billed`. */
const MAX_SEGMENTS_READ = 20;

/** State of a ticket according to the journal of its issuer. */
export type TicketProgress =
  /** It was billed, or its answer was recorded. */
  | 'done'
  /** It can never be billed. */
  | 'never'
  /** It may still be billed. */
  | 'open'
  /** The journal cannot be read now. */
  | 'unread';

/** Resolves tickets of other incarnations. */
export class TicketResolver {
  readonly #fleet: Fleet;
  readonly #store: ObjectStore;

  constructor(fleet: Fleet, store: ObjectStore) {
    this.#fleet = fleet;
    this.#store = store;
  }

  /** Refers to the issuer while it is alive; otherwise reads the journal of its data centre. */
  async resolve(ticket: TicketId): Promise<TicketResolution> {
    const issuer = this.#fleet.find(ticket.issuer);
    if (issuer?.health === 'alive') return { type: 'elsewhere', entryUrl: issuer.info.entryUrl };
    const read = await this.#store.get('journals', dataCentreOf(ticket.issuer));
    if (read.isErr) return { type: 'unknown' };
    const journal = read.value.value as JournalState;
    const holder = entryOf(journal.holders, ticket.issuer);
    if (!holder) return { type: 'unknown' };
    if (hasInterval(holder.done, ticket.number)) return this.#answered(ticket, holder, journal);
    if (holder.openIntents.includes(ticket.number)) return { type: 'started' };
    return { type: isProvablyOver(holder) ? 'not-run' : 'unknown' };
  }

  /** Returns the state of a ticket according to the journal. */
  async progress(ticket: TicketId): Promise<TicketProgress> {
    const read = await this.#store.get('journals', dataCentreOf(ticket.issuer));
    if (read.isErr) return 'unread';
    const holder = entryOf((read.value.value as JournalState).holders, ticket.issuer);
    if (!holder) return 'open';
    if (hasInterval(holder.done, ticket.number)) return 'done';
    return isProvablyOver(holder) ? 'never' : 'open';
  }

  async #answered(
    ticket: TicketId,
    holder: JournalHolder,
    journal: JournalState,
  ): Promise<TicketResolution> {
    const open = findOutcome(journal.outcomes, ticket);
    if (open) return { type: 'answered', outcome: open };
    const oldest = Math.max(holder.segments.first, holder.segments.last - MAX_SEGMENTS_READ);
    for (let number = holder.segments.last; number >= oldest; number -= 1) {
      const read = await this.#store.get('segments', segmentName(journal.dataCentre, number));
      if (read.isErr) continue;
      const outcome = findOutcome((read.value.value as BillSegment).outcomes, ticket);
      if (outcome) return { type: 'answered', outcome };
    }
    return { type: 'billed' };
  }
}

/** Returns the name of the platform object that contains a segment. */
export function segmentName(dataCentre: string, number: number): string {
  return `${dataCentre}-${number}`;
}

/**
 * Whether a ticket that is not in the journal was certainly not billed. This is unknown for a
 * holder that an operator wrote off: its lost lines may have contained the ticket.
 */
function isProvablyOver(holder: JournalHolder): boolean {
  return (holder.state === 'sealed' || holder.state === 'closed') && !holder.writtenOff;
}

function findOutcome(outcomes: Outcome[], ticket: TicketId): Outcome | undefined {
  return outcomes.find((one) => one.holder === ticket.issuer && one.ticket === ticket.number);
}

function dataCentreOf(incarnation: IncarnationId): string {
  return incarnation.split('/')[0] ?? '';
}
