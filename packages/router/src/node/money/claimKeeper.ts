/** Claims on callers' idempotency keys, grouped into few writes per claim page. */

import type { Claim, ClaimPage, ClaimResult, TicketId } from '@flamingocourse/core';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { ClaimAnswer } from '../../types/money.js';
import type { ObjectStore } from '../../types/moneyPorts.js';
import {
  claim,
  createClaimPage,
  giveUp,
  pageOf,
  pruneClaims,
  takeOver,
  ticketName,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { GroupWriter } from './groupWriter.js';

/** Claims on one page, about 0.8 MB; the platform takes values up to a megabyte. */
const MAX_CLAIMS_PER_PAGE = 4_000;

/** Time for which a key is remembered; docs/CALLERS.md promises it. */
export const CLAIM_LIFETIME_MS = 15 * 60 * 1_000;

/** Ended tickets whose claims are still to be given up; beyond this the oldest wait for their router's end. */
const MAX_ENDED = 4_096;

/** What a claim keeper is created with. */
export interface ClaimKeeperOptions {
  store: ObjectStore;
  clock: Clock;
  pages: number;
  groupMs: number;
  log: EventLog;
  onFailure: (err: unknown) => void;
}

/** A claim whose ticket has ended without a bill. */
interface EndedClaim {
  keyDigest: string;
  bodyDigest: string;
  ticket: TicketId;
}

/** Claims of this router. */
export class ClaimKeeper {
  readonly #options: ClaimKeeperOptions;
  readonly #writers = new Map<number, GroupWriter<ClaimPage, never>>();
  /** Claims to give up, by key and ticket. */
  readonly #ended = new Map<string, EndedClaim>();

  constructor(options: ClaimKeeperOptions) {
    this.#options = options;
  }

  /** Binds a key to a ticket. */
  claim(keyDigest: string, bodyDigest: string, ticket: TicketId): Promise<ClaimAnswer> {
    const wanted: Claim = { ticket, bodyDigest, at: this.#options.clock.now() };
    return this.#change(keyDigest, (page) => claim(page, keyDigest, wanted));
  }

  /** Moves a claim from a ticket that provably was not billed. */
  takeOver(keyDigest: string, from: TicketId, to: TicketId): Promise<ClaimAnswer> {
    const now = this.#options.clock.now();
    return this.#change(keyDigest, (page) => takeOver(page, keyDigest, from, to, now));
  }

  /** Gives up what a ticket without a bill may have claimed, now or once the platform answers. */
  giveUp(keyDigest: string, bodyDigest: string, ticket: TicketId): void {
    const name = `${keyDigest} ${ticketName(ticket)}`;
    this.#ended.set(name, { keyDigest, bodyDigest, ticket });
    const [oldest] = this.#ended.keys();
    if (this.#ended.size > MAX_ENDED && oldest !== undefined) this.#drop(oldest);
    void this.#tell(name);
  }

  /** Gives up again what could not be told yet. */
  async tick(): Promise<void> {
    await Promise.all([...this.#ended.keys()].map((name) => this.#tell(name)));
  }

  async #tell(name: string): Promise<void> {
    const ended = this.#ended.get(name);
    if (!ended) return;
    const { keyDigest, bodyDigest, ticket } = ended;
    const claimed = { ticket, bodyDigest, at: this.#options.clock.now() };
    const written = await this.#writer(keyDigest).change((page) => {
      const pruned = this.#pruned(page);
      const hasRoom = !isFull(pruned) || keyDigest in pruned.claims;
      return Result.ok(hasRoom ? giveUp(pruned, keyDigest, claimed) : page);
    });
    if (written.isOk) this.#ended.delete(name);
  }

  #drop(name: string): void {
    this.#ended.delete(name);
    this.#options.log.write('claim-kept-open', { claim: name, waiting: this.#ended.size });
  }

  /** Ends all writers. */
  async stop(): Promise<void> {
    await Promise.all([...this.#writers.values()].map((writer) => writer.stop()));
  }

  async #change(keyDigest: string, decide: (page: ClaimPage) => ClaimResult): Promise<ClaimAnswer> {
    let answer: ClaimAnswer = { type: 'unreachable' };
    const written = await this.#writer(keyDigest).change((page) => {
      const pruned = this.#pruned(page);
      // a young claim dropped for want of room would let a retry run its request a second time; a
      // full page therefore takes no new key, and the caller is told to use a ticket.
      if (isFull(pruned) && !(keyDigest in pruned.claims)) return Result.ok(page);
      const decided = decide(pruned);
      answer = decided.answer;
      // what was only pruned is not worth a write.
      return Result.ok(decided.answer.type === 'own' ? decided.page : page);
    });
    return written.isOk ? answer : { type: 'unreachable' };
  }

  #pruned(page: ClaimPage): ClaimPage {
    if (!isFull(page)) return page;
    return pruneClaims(page, this.#options.clock.now() - CLAIM_LIFETIME_MS);
  }

  #writer(keyDigest: string): GroupWriter<ClaimPage, never> {
    const { store, pages, groupMs, onFailure } = this.#options;
    const page = pageOf(keyDigest, pages);
    const known = this.#writers.get(page);
    if (known) return known;
    const writer = new GroupWriter<ClaimPage, never>({
      store,
      collection: 'claims',
      name: String(page),
      initial: () => createClaimPage(page),
      groupMs,
      onFailure,
    });
    writer.start();
    this.#writers.set(page, writer);
    return writer;
  }
}

function isFull(page: ClaimPage): boolean {
  return Object.keys(page.claims).length >= MAX_CLAIMS_PER_PAGE;
}
