/** Claims on callers' idempotency keys, grouped into few writes per claim page. */

import type { Claim, ClaimPage, ClaimResult, TicketId } from '@flamingocourse/core';
import type { Clock } from '@flamingocourse/kernel';
import type { ClaimAnswer } from '../../types/money.js';
import type { ObjectStore } from '../../types/moneyPorts.js';
import { claim, createClaimPage, pageOf, pruneClaims, takeOver } from '@flamingocourse/core';
import { Result } from 'true-myth';
import { GroupWriter } from './groupWriter.js';

/** Claims on one page, about 0.8 MB; the platform takes values up to a megabyte. */
const MAX_CLAIMS_PER_PAGE = 4_000;

/** Time for which a key is remembered; docs/CALLERS.md promises it. */
export const CLAIM_LIFETIME_MS = 15 * 60 * 1_000;

/** What a claim keeper is created with. */
export interface ClaimKeeperOptions {
  store: ObjectStore;
  clock: Clock;
  pages: number;
  groupMs: number;
  onFailure: (err: unknown) => void;
}

/** Claims of this router. */
export class ClaimKeeper {
  readonly #options: ClaimKeeperOptions;
  readonly #writers = new Map<number, GroupWriter<ClaimPage, never>>();

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
