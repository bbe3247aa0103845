/**
 * Settles provisional bills: requests that were answered while their key could not be claimed.
 *
 * The same key may have been answered in two data centres that were cut off from each other and from
 * the platform, or by two routers while the platform was out. Each journal then has a provisional
 * bill for it. Once claims can be read again, the ticket that owns the key is billed and the others
 * are void. The provisional bill stands in the journal, so any router can settle it, also after the
 * one that answered has died.
 */

import type { Bill, EpochMs, ProvisionalVerdict, TicketId } from '@flamingocourse/core';
import type { EventLog } from '@flamingocourse/kernel';
import type { Fleet } from '../../types/fleet.js';
import type { ClaimKeeper } from './claimKeeper.js';
import type { JournalWriter } from './lineRoutes.js';
import type { TicketProgress, TicketResolver } from './ticketResolver.js';
import { settleProvisional, ticketName } from '@flamingocourse/core';
import { Result } from 'true-myth';

/** Key under which the one router is chosen that settles; others may do it without harm. */
const SETTLER_KEY = 'provisional';
const INTERVAL_MS = 500;
/** Bills settled in one round, so that a long outage's backlog does not hold up other work. */
const MAX_PER_ROUND = 64;

/** What a settler is created with. */
export interface ProvisionalSettlerOptions {
  fleet: Fleet;
  writer: JournalWriter;
  claims: ClaimKeeper;
  resolver: TicketResolver;
  log: EventLog;
}

/** What a bill waits for. */
interface Wait {
  reason: 'claim-unreachable' | 'takeover-failed' | `owner-${TicketProgress}`;
  /** Ticket that owns the key, where it is known. */
  owner?: TicketId;
}

/** Settler of one data centre's journal. */
export class ProvisionalSettler {
  readonly #options: ProvisionalSettlerOptions;
  #lastAt: EpochMs = -Infinity;
  /** Why each bill waits, as it was last told. */
  readonly #told = new Map<string, string>();

  constructor(options: ProvisionalSettlerOptions) {
    this.#options = options;
  }

  /** Settles what can be settled now. */
  async tick(now: EpochMs): Promise<void> {
    const { fleet, writer } = this.#options;
    if (now - this.#lastAt < INTERVAL_MS) return;
    this.#lastAt = now;
    if (fleet.localOwner(SETTLER_KEY).incarnation !== fleet.self.incarnation) return;
    const waiting = (writer.latest?.state.provisional ?? []).slice(0, MAX_PER_ROUND);
    const names = new Set(waiting.map(nameOf));
    for (const name of this.#told.keys()) if (!names.has(name)) this.#told.delete(name);
    await Promise.all(waiting.map((bill) => this.#settle(bill)));
  }

  async #settle(bill: Bill): Promise<void> {
    const ticket = { issuer: bill.holder, number: bill.ticket };
    const verdict = await this.#judge(bill, ticket);
    if (typeof verdict !== 'string') {
      this.#tell(bill, verdict);
      return;
    }
    const written = await this.#options.writer.change((state) =>
      Result.ok(settleProvisional(state, ticket, verdict)),
    );
    const { log } = this.#options;
    if (written.isOk) log.write('provisional-settled', { bill: nameOf(bill), verdict });
  }

  /** Says once for each reason why a bill is not settled yet. */
  #tell(bill: Bill, { reason, owner }: Wait): void {
    const name = nameOf(bill);
    if (this.#told.get(name) === reason) return;
    this.#told.set(name, reason);
    this.#options.log.write('provisional-waits', {
      bill: name,
      account: bill.account,
      reason,
      owner: owner && ticketName(owner),
    });
  }

  /** Asks the claim who is billed, or says why that cannot be known yet. */
  async #judge(bill: Bill, ticket: TicketId): Promise<ProvisionalVerdict | Wait> {
    const { claims, resolver } = this.#options;
    const { keyDigest = '', unclaimed = '' } = bill;
    const answer = await claims.claim(keyDigest, unclaimed, ticket);
    switch (answer.type) {
      // with another body the key names another request; this one was answered for itself.
      case 'own':
      case 'other-body':
        return 'billed';
      case 'unreachable':
        return { reason: 'claim-unreachable' };
      case 'other': {
        const progress = await resolver.progress(answer.ticket);
        if (progress === 'done') return 'void';
        const owner = answer.ticket;
        if (progress !== 'never') return { reason: `owner-${progress}`, owner };
        const taken = await claims.takeOver(keyDigest, answer.ticket, ticket);
        return taken.type === 'own' ? 'billed' : { reason: 'takeover-failed', owner };
      }
    }
  }
}

/** A bill's ticket as text. */
function nameOf({ holder, ticket }: Bill): string {
  return ticketName({ issuer: holder, number: ticket });
}
