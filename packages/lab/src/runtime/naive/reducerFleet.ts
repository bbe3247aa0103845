/**
 * Four routers in two data centres that decide with the production reducers. The protocol's steps
 * run in the same order as in the services, with faults between them. There is no time and no waiting.
 */

import type { IncarnationId, JournalChange, TicketId, Tokens } from '@flamingocourse/core';
import type { ReducerRouter } from './reducerRouter.js';
import type { CrashPoint, FleetEvent, Outcome, RequestEvent } from './types.js';
import {
  Spender,
  claim,
  hasInterval,
  storeLines,
  pool,
  takeOver,
  entryOf,
} from '@flamingocourse/core';
import { LabError } from '../../utils/labError.js';
import { createRouter } from './reducerRouter.js';
import { ACCOUNT, DATA_CENTRES, ReducerStore } from './reducerStore.js';
import { WORST_CASE, costOf, hasTicket, isNonIdempotent } from './types.js';

const ROUTERS_PER_DATA_CENTRE = 2;

/** Tokens that a router takes in addition to its shortfall. */
const SPARE: Tokens = 10;

/** Model fleet on the production reducers. */
export class ReducerFleet {
  readonly store: ReducerStore;
  /** How often each key was sent to a backend server. */
  readonly runs = new Map<number, number>();
  #isUp = true;
  #incarnations = 0;
  readonly #routers: ReducerRouter[] = [];
  readonly #tickets = new Map<number, TicketId>();
  /** Holders that are not sealed yet because not all witnesses have answered. */
  #unsealed: { dataCentre: string; holder: IncarnationId }[] = [];

  constructor(limit: Tokens) {
    this.store = new ReducerStore(limit);
    for (const dataCentre of DATA_CENTRES) {
      for (let index = 0; index < ROUTERS_PER_DATA_CENTRE; index += 1) {
        this.#routers.push(createRouter(dataCentre, this.#nextId(dataCentre)));
      }
    }
    this.#maintain();
  }

  /** Handles one event. */
  handle(event: FleetEvent): Outcome | undefined {
    switch (event.type) {
      case 'request':
        return this.#request(event);
      case 'top-up':
        this.store.topUp(event.amount);
        return undefined;
      case 'platform':
        this.#isUp = event.isUp;
        this.#maintain();
        return undefined;
      case 'seal':
        this.#sealRunning(this.#router(event.router));
        return undefined;
      case 'lose-reply':
        this.#router(event.router).losesNextReply = true;
        return undefined;
    }
  }

  /** Makes the platform reachable again and writes all stored lines to the journals. */
  settle(): void {
    this.#isUp = true;
    this.#maintain();
    for (const router of this.#routers) {
      // A running router reads the journal at each tick, even without requests.
      this.#sync(router);
      this.#append(router);
      this.store.read(router);
    }
  }

  /** Ticket that may be billed for a key: the one in the claim, or else the one that was issued. */
  ownerOf(key: number): TicketId | undefined {
    return entryOf(this.store.claims.claims, `key-${key}`)?.ticket ?? this.#tickets.get(key);
  }

  #request({ router: index, key, crashPoint }: RequestEvent): Outcome {
    const router = this.#router(index);
    this.#sync(router);
    // A router that cannot look up the key does not know whether another router ran the request.
    if (!router.spender.isOpen) return isNonIdempotent(key) ? 'unknown' : 'not-run';
    const outcome = router.outcomes.get(key);
    if (outcome) return outcome;
    const ticket: TicketId = { issuer: router.spender.holder, number: key };
    if (hasTicket(key)) return this.#runTicket(router, ticket, crashPoint);
    if (!isNonIdempotent(key)) return this.#run(router, ticket, crashPoint);
    return this.#claimBeforeDispatch(router, ticket) ?? this.#run(router, ticket, crashPoint);
  }

  /**
   * Handles a request with a ticket. Only the issuer dispatches it; if the issuer is gone, the first
   * router that gets a retry claims it.
   */
  #runTicket(router: ReducerRouter, next: TicketId, crashPoint: CrashPoint): Outcome {
    const ticket = this.#tickets.get(next.number) ?? next;
    this.#tickets.set(ticket.number, ticket);
    const issuer = this.#routers.find((one) => one.spender.holder === ticket.issuer);
    if (issuer && !issuer.spender.isOpen) return 'unknown';
    if (issuer) return issuer.outcomes.get(ticket.number) ?? this.#run(issuer, ticket, crashPoint);
    if (!this.#isUp) return 'unknown';
    const journal = this.store.journals.find((one) => entryOf(one.holders, ticket.issuer));
    const entry = entryOf(journal?.holders, ticket.issuer);
    if (!entry) return 'unknown';
    if (hasInterval(entry.done, ticket.number)) return 'answered';
    const isSealed = entry.state === 'sealed' || entry.state === 'closed';
    if (!isSealed || entry.openIntents.includes(ticket.number)) return 'unknown';
    return this.#claimBeforeDispatch(router, next) ?? this.#run(router, next, crashPoint);
  }

  /** Claims the key: `undefined` when the ticket owns it, else the outcome for the caller. */
  #claimBeforeDispatch(router: ReducerRouter, ticket: TicketId): Outcome | undefined {
    // A key that cannot be checked may belong to a request that another router ran.
    if (!this.#isUp) return 'unknown';
    const key = `key-${ticket.number}`;
    const { page, answer } = claim(this.store.claims, key, { ticket, bodyDigest: '', at: 0 });
    this.store.claims = page;
    if (answer.type === 'own') return undefined;
    if (answer.type === 'other-body') return 'unknown';
    const { issuer, number } = answer.ticket;
    const owner = this.#routers.find((one) => one.spender.holder === issuer);
    const outcome = owner?.outcomes.get(number);
    if (outcome) return outcome;
    const journal = this.store.journals.find((one) => entryOf(one.holders, issuer));
    const entry = entryOf(journal?.holders, issuer);
    if (!entry) return 'unknown';
    if (hasInterval(entry.done, number)) return 'answered';
    // A running owner that reported not-run is asked again; the claim of a sealed one is taken over.
    const isSealed = entry.state === 'sealed' || entry.state === 'closed';
    if (entry.openIntents.includes(number) || !isSealed) return 'unknown';
    const taken = takeOver(this.store.claims, key, answer.ticket, ticket, 0);
    this.store.claims = taken.page;
    return taken.answer.type === 'own' ? undefined : 'unknown';
  }

  #run(router: ReducerRouter, ticket: TicketId, crashPoint: CrashPoint): Outcome {
    const key = ticket.number;
    const request = { account: ACCOUNT, workClass: 'w', amount: WORST_CASE };
    const limits = { budgetShare: 1, floor: 0 };
    this.#acquireTokens(router);
    const reserved = router.spender.reserve({ ...request, ...limits });
    if (reserved.isErr) return 'not-run';
    if (isNonIdempotent(key) && !this.#record(router, { type: 'intent', ticket: key })) {
      router.spender.append({ type: 'not-run', ticket: key });
      router.spender.release(reserved.value);
      return 'not-run';
    }
    if (crashPoint === 'before-dispatch') return this.#crash(router);
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    if (crashPoint === 'after-dispatch') return this.#crash(router);
    const isOwner = isNonIdempotent(key) || hasTicket(key) || this.#claimBeforeBill(ticket);
    if (!isOwner) {
      router.spender.release(reserved.value);
      return this.#isUp && this.#isBilled(key) ? 'answered' : 'unknown';
    }
    const isStored = this.#record(router, { type: 'bill', bill: billOf(ticket) });
    router.spender.release(reserved.value);
    router.outcomes.set(key, isStored ? 'answered' : 'unknown');
    if (crashPoint === 'after-bill') return this.#crash(router);
    return isStored ? 'answered' : 'unknown';
  }

  /** Claims the key of an idempotent request, which must happen before its bill is written. */
  #claimBeforeBill(ticket: TicketId): boolean {
    if (!this.#isUp) return false;
    const key = `key-${ticket.number}`;
    const { page, answer } = claim(this.store.claims, key, { ticket, bodyDigest: '', at: 0 });
    this.store.claims = page;
    if (answer.type !== 'other') return answer.type === 'own';
    const { issuer, number } = answer.ticket;
    const entry = entryOf(
      this.store.journals.find((one) => entryOf(one.holders, issuer))?.holders,
      issuer,
    );
    const isSealed = entry?.state === 'sealed' || entry?.state === 'closed';
    if (!entry || !isSealed || hasInterval(entry.done, number)) return false;
    const taken = takeOver(this.store.claims, key, answer.ticket, ticket, 0);
    this.store.claims = taken.page;
    return taken.answer.type === 'own';
  }

  #isBilled(key: number): boolean {
    return this.store.journals.some((one) => one.bills.some((bill) => bill.ticket === key));
  }

  /** Covers a shortfall: from the pool, the ledger, the peers, and last from other data centres. */
  #acquireTokens(router: ReducerRouter): void {
    if (!this.#isUp) return;
    const { spender, dataCentre } = router;
    const shortfall = (): Tokens => WORST_CASE - spender.free(ACCOUNT);
    const takeShortfall = (): void => {
      if (shortfall() <= 0) return;
      const here = pool(this.store.journal(dataCentre), ACCOUNT);
      this.store.grant(dataCentre, Math.max(0, shortfall() + SPARE - here));
      this.#record(router, { type: 'take', account: ACCOUNT, amount: shortfall() + SPARE });
    };
    takeShortfall();
    if (shortfall() <= 0) return;
    for (const peer of this.#routers) if (peer !== router) this.#giveFreeTokens(peer);
    for (const name of DATA_CENTRES) if (name !== dataCentre) this.store.returnPool(name);
    takeShortfall();
  }

  #giveFreeTokens(peer: ReducerRouter): void {
    this.#sync(peer);
    const amount = peer.spender.isOpen ? peer.spender.free(ACCOUNT) : 0;
    if (amount > 0) this.#record(peer, { type: 'give', account: ACCOUNT, amount });
  }

  /** Writes a line; returns whether the journal or a witness has stored it. */
  #record(router: ReducerRouter, change: JournalChange): boolean {
    const line = router.spender.append(change);
    this.#append(router);
    if (router.spender.appliedSeq < line.seq) this.#storeAtWitness(router);
    return Math.max(router.spender.appliedSeq, router.storedSeq) >= line.seq;
  }

  /** Sends all lines. After a lost reply they are sent again; the journal applies them once. */
  #append(router: ReducerRouter): void {
    const { spender, dataCentre } = router;
    if (!this.#isUp || spender.unapplied.length === 0) return;
    const isApplied = this.store.append(dataCentre, spender.unapplied);
    if (isApplied && router.losesNextReply) this.store.append(dataCentre, spender.unapplied);
    router.losesNextReply = false;
    this.store.read(router);
  }

  #storeAtWitness(router: ReducerRouter): void {
    const { spender, dataCentre } = router;
    const peers = this.#routers.filter((one) => spender.witnesses.includes(one.spender.holder));
    for (const peer of peers) {
      const lines = spender.unapplied;
      const stored = storeLines(peer.witness, lines, this.store.journal(dataCentre));
      if (stored.isErr) continue;
      peer.witness = stored.value;
      router.storedSeq = lines.at(-1)?.seq ?? router.storedSeq;
      return;
    }
  }

  /** Reads the journal; a router that has been sealed continues as a new incarnation. */
  #sync(router: ReducerRouter): void {
    if (!this.#isUp) return;
    this.store.read(router);
    const { holder } = router.spender;
    const entry = entryOf(this.store.journal(router.dataCentre).holders, holder);
    if (entry && entry.state !== 'open') {
      this.store.finishOwn(router);
      router.formerly.push(holder);
      router.spender = new Spender(this.#nextId(router.dataCentre));
      router.storedSeq = 0;
    }
    this.#maintain();
  }

  #sealRunning({ dataCentre, spender }: ReducerRouter): void {
    this.#unsealed.push({ dataCentre, holder: spender.holder });
    this.#maintain();
  }

  #crash(router: ReducerRouter): Outcome {
    const { dataCentre, spender } = router;
    this.#unsealed.push({ dataCentre, holder: spender.holder });
    const index = this.#routers.indexOf(router);
    this.#routers[index] = createRouter(dataCentre, this.#nextId(dataCentre));
    this.#maintain();
    return 'no-answer';
  }

  /** Seals holders and registers new incarnations while the platform is reachable. */
  #maintain(): void {
    if (!this.#isUp) return;
    this.#unsealed = this.#unsealed.filter(
      ({ dataCentre, holder }) => !this.store.seal(dataCentre, holder, this.#routers),
    );
    for (const router of this.#routers) {
      const { holder } = router.spender;
      if (entryOf(this.store.journal(router.dataCentre).holders, holder)) continue;
      const peers = this.#routers.filter(
        (one) => one !== router && one.dataCentre === router.dataCentre,
      );
      this.store.register(
        router,
        peers.map((one) => one.spender.holder),
      );
      this.store.read(router);
    }
  }

  #router(index: number): ReducerRouter {
    const router = this.#routers[index % this.#routers.length];
    if (!router) throw new LabError('bad-world', `there is no router with the index "${index}".`);
    return router;
  }

  #nextId(dataCentre: string): IncarnationId {
    this.#incarnations += 1;
    return `${dataCentre}${this.#incarnations}`;
  }
}

function billOf(ticket: TicketId): Extract<JournalChange, { type: 'bill' }>['bill'] {
  const cost = costOf(ticket.number);
  const use = { cost, promptTokens: 0, completionTokens: cost };
  const names = { account: ACCOUNT, workClass: 'w', service: 's' };
  return { holder: ticket.issuer, ticket: ticket.number, ...names, ...use, at: 0 };
}
