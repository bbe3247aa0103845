/** Claims on the idempotency keys of callers. Claims on the same page share writes. */

import type { Claim, ClaimPage, ClaimResult, TicketId } from '@flamingocourse/core';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { ClaimAnswer } from '../../types/money.js';
import type { ObjectStore } from '../../types/moneyPorts.js';
import { runInBackground } from '@flamingocourse/kernel';
import {
  claim,
  createClaimPage,
  hasEntry,
  releaseClaim,
  pageOf,
  pruneClaims,
  takeOver,
  ticketName,
} from '@flamingocourse/core';
import { Result } from 'true-myth';
import { GroupWriter } from './groupWriter.js';

/** Maximum number of claims on one page, about 0.8 MB. The platform accepts values up to 1 MB. */
const MAX_CLAIMS_PER_PAGE = 4_000;

/** Time in milliseconds for which a claim is stored. docs/CALLERS.md promises it to callers. */
export const CLAIM_LIFETIME_MS = 15 * 60 * 1_000;

/**
 * Maximum number of releases that wait to be written. Above it the oldest is dropped, and its claim
 * stays until the router that made it ends.
 */
const MAX_UNRELEASED = 4_096;

/** Options of {@link ClaimStore}. */
export interface ClaimStoreOptions {
  store: ObjectStore;
  clock: Clock;
  pages: number;
  groupMs: number;
  log: EventLog;
  onFailure: (err: unknown) => void;
}

/** A claim whose ticket ended without a bill and whose release is not written yet. */
interface UnreleasedClaim {
  keyDigest: string;
  bodyDigest: string;
  ticket: TicketId;
}

/** Writes and releases the claims of this router. */
export class ClaimStore {
  readonly #options: ClaimStoreOptions;
  readonly #writers = new Map<number, GroupWriter<ClaimPage, never>>();
  /** Claims to release, by key and ticket. */
  readonly #unreleased = new Map<string, UnreleasedClaim>();

  constructor(options: ClaimStoreOptions) {
    this.#options = options;
  }

  /** Claims a key for a ticket. */
  claim(keyDigest: string, bodyDigest: string, ticket: TicketId): Promise<ClaimAnswer> {
    const wanted: Claim = { ticket, bodyDigest, at: this.#options.clock.now() };
    return this.#change(keyDigest, (page) => claim(page, keyDigest, wanted));
  }

  /** Moves a claim to another ticket. The ticket `from` is known never to be billed. */
  takeOver(keyDigest: string, from: TicketId, to: TicketId): Promise<ClaimAnswer> {
    const now = this.#options.clock.now();
    return this.#change(keyDigest, (page) => takeOver(page, keyDigest, from, to, now));
  }

  /**
   * Releases the claim of a ticket that ended without a bill, if it has one. While the platform
   * does not answer, the release is written at a later tick.
   */
  release(keyDigest: string, bodyDigest: string, ticket: TicketId): void {
    const name = `${keyDigest} ${ticketName(ticket)}`;
    this.#unreleased.set(name, { keyDigest, bodyDigest, ticket });
    const [oldest] = this.#unreleased.keys();
    if (this.#unreleased.size > MAX_UNRELEASED && oldest !== undefined) this.#dropRelease(oldest);
    runInBackground(() => this.#writeRelease(name), this.#options.onFailure);
  }

  /** Retries the releases that are not written yet. */
  async tick(): Promise<void> {
    await Promise.all([...this.#unreleased.keys()].map((name) => this.#writeRelease(name)));
  }

  async #writeRelease(name: string): Promise<void> {
    const unreleased = this.#unreleased.get(name);
    if (!unreleased) return;
    const { keyDigest, bodyDigest, ticket } = unreleased;
    const claimed = { ticket, bodyDigest, at: this.#options.clock.now() };
    const written = await this.#writer(keyDigest).change((page) => {
      const pruned = this.#pruned(page);
      const hasRoom = !isFull(pruned) || hasEntry(pruned.claims, keyDigest);
      return Result.ok(hasRoom ? releaseClaim(pruned, keyDigest, claimed) : page);
    });
    if (written.isOk) this.#unreleased.delete(name);
  }

  #dropRelease(name: string): void {
    this.#unreleased.delete(name);
    this.#options.log.write('claim-kept-open', { claim: name, waiting: this.#unreleased.size });
  }

  /** Writes the queued changes and stops all writers. */
  async stop(): Promise<void> {
    await Promise.all([...this.#writers.values()].map((writer) => writer.stop()));
  }

  async #change(keyDigest: string, decide: (page: ClaimPage) => ClaimResult): Promise<ClaimAnswer> {
    let answer: ClaimAnswer = { type: 'unreachable' };
    const written = await this.#writer(keyDigest).change((page) => {
      const pruned = this.#pruned(page);
      // A full page accepts no new key, and the caller is advised to use a ticket. Dropping a
      // recent claim to make room would let a retry run its request a second time.
      if (isFull(pruned) && !hasEntry(pruned.claims, keyDigest)) return Result.ok(page);
      const decided = decide(pruned);
      answer = decided.answer;
      // Pruning alone does not justify a write.
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
