/**
 * Settles provisional bills: bills of requests that were answered while their idempotency key could
 * not be claimed.
 *
 * Two data centres that were partitioned from each other and from the platform may have answered
 * the same key, or two routers during an outage of the platform. Each of them has then recorded a
 * provisional bill in its journal. Once claims can be read again, the ticket that owns the key is
 * billed and the others are void. Provisional bills are in the journal, so any router can settle
 * them, also after the router that answered has failed.
 */

import type { Bill, EpochMs, ProvisionalVerdict, TicketId } from '@flamingocourse/core';
import type { EventLog } from '@flamingocourse/kernel';
import type { Fleet } from '../../types/fleet.js';
import type { ClaimStore } from './claimStore.js';
import type { JournalWriter } from './lineTransport.js';
import type { TicketProgress, TicketResolver } from './ticketResolver.js';
import { settleProvisional, ticketName } from '@flamingocourse/core';
import { Result } from 'true-myth';

/**
 * Key by which the fleet chooses the router that settles. Settling by several routers is harmless.
 */
const SETTLER_KEY = 'provisional';
/** Interval between two rounds, in milliseconds. */
const SETTLE_INTERVAL_MS = 500;
/**
 * Maximum number of bills settled in one round, so that the backlog of a long outage does not delay
 * other work.
 */
const MAX_PER_ROUND = 64;

/** Options of {@link ProvisionalSettler}. */
export interface ProvisionalSettlerOptions {
  fleet: Fleet;
  writer: JournalWriter;
  claims: ClaimStore;
  resolver: TicketResolver;
  log: EventLog;
}

/** Why a bill cannot be settled yet. */
interface UnsettledReason {
  reason: 'claim-unreachable' | 'takeover-failed' | `owner-${TicketProgress}`;
  /** Ticket that owns the key, if known. */
  owner?: TicketId;
}

/** Settles the provisional bills in the journal of one data centre. */
export class ProvisionalSettler {
  readonly #options: ProvisionalSettlerOptions;
  #lastRoundAt: EpochMs = -Infinity;
  /** Reason that was last logged for each bill that waits. */
  readonly #loggedReasons = new Map<string, string>();

  constructor(options: ProvisionalSettlerOptions) {
    this.#options = options;
  }

  /** Settles the bills that can be settled now. */
  async tick(now: EpochMs): Promise<void> {
    const { fleet, writer } = this.#options;
    if (now - this.#lastRoundAt < SETTLE_INTERVAL_MS) return;
    this.#lastRoundAt = now;
    if (fleet.localOwner(SETTLER_KEY).incarnation !== fleet.self.incarnation) return;
    const waiting = (writer.latest?.state.provisional ?? []).slice(0, MAX_PER_ROUND);
    const names = new Set(waiting.map(billName));
    for (const name of this.#loggedReasons.keys())
      if (!names.has(name)) this.#loggedReasons.delete(name);
    await Promise.all(waiting.map((bill) => this.#settle(bill)));
  }

  async #settle(bill: Bill): Promise<void> {
    const ticket = { issuer: bill.holder, number: bill.ticket };
    const verdict = await this.#decideVerdict(bill, ticket);
    if (typeof verdict !== 'string') {
      this.#logUnsettled(bill, verdict);
      return;
    }
    const written = await this.#options.writer.change((state) =>
      Result.ok(settleProvisional(state, ticket, verdict)),
    );
    const { log } = this.#options;
    if (written.isOk) log.write('provisional-settled', { bill: billName(bill), verdict });
  }

  /** Logs why a bill is not settled yet, once per change of the reason. */
  #logUnsettled(bill: Bill, { reason, owner }: UnsettledReason): void {
    const name = billName(bill);
    if (this.#loggedReasons.get(name) === reason) return;
    this.#loggedReasons.set(name, reason);
    this.#options.log.write('provisional-waits', {
      bill: name,
      account: bill.account,
      reason,
      owner: owner && ticketName(owner),
    });
  }

  /** Decides from the claim whether the bill counts, or returns why that cannot be decided yet. */
  async #decideVerdict(
    bill: Bill,
    ticket: TicketId,
  ): Promise<ProvisionalVerdict | UnsettledReason> {
    const { claims, resolver } = this.#options;
    const { keyDigest = '', unclaimed = '' } = bill;
    const answer = await claims.claim(keyDigest, unclaimed, ticket);
    switch (answer.type) {
      // With another body the key was claimed by a different request, so this one is billed as
      // well.
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

/** Returns the ticket of a bill as text. */
function billName({ holder, ticket }: Bill): string {
  return ticketName({ issuer: holder, number: ticket });
}
