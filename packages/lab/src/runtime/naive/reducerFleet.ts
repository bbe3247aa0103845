/**
 * Four routers in two data centres that decide by the real reducers, with the protocol's steps in
 * the order of the services, and faults between them. No time passes and nothing waits.
 */

import type { IncarnationId, JournalChange, TicketId, Tokens } from '@flamingocourse/core';
import type { ReducerRouter } from './reducerRouter.js';
import type { DeathPoint, FleetEvent, Outcome, RequestEvent } from './types.js';
import { Spender, claim, hasInterval, storeLines, pool, takeOver } from '@flamingocourse/core';
import { LabError } from '../../utils/labError.js';
import { createRouter } from './reducerRouter.js';
import { ACCOUNT, DATA_CENTRES, ReducerStore } from './reducerStore.js';
import { WORST_CASE, costOf, hasTicket, isNonIdempotent } from './types.js';

const ROUTERS_PER_DATA_CENTRE = 2;

/** Tokens that a router takes beyond what it lacks. */
const SPARE: Tokens = 10;

/** The fleet. */
export class ReducerFleet {
  readonly store: ReducerStore;
  /** Times that each key was sent to a backend server. */
  readonly runs = new Map<number, number>();
  #isUp = true;
  #incarnations = 0;
  readonly #routers: ReducerRouter[] = [];
  readonly #tickets = new Map<number, TicketId>();
  /** Holders of which not all witnesses have answered yet. */
  #unsealed: { dataCentre: string; holder: IncarnationId }[] = [];

  constructor(limit: Tokens) {
    this.store = new ReducerStore(limit);
    for (const dataCentre of DATA_CENTRES) {
      for (let index = 0; index < ROUTERS_PER_DATA_CENTRE; index += 1) {
        this.#routers.push(createRouter(dataCentre, this.#nextId(dataCentre)));
      }
    }
    this.#tend();
  }

  /** Takes one event. */
  handle(event: FleetEvent): Outcome | undefined {
    switch (event.type) {
      case 'request':
        return this.#request(event);
      case 'top-up':
        this.store.topUp(event.amount);
        return undefined;
      case 'platform':
        this.#isUp = event.isUp;
        this.#tend();
        return undefined;
      case 'seal':
        this.#sealAlive(this.#router(event.router));
        return undefined;
      case 'lose-reply':
        this.#router(event.router).losesReply = true;
        return undefined;
    }
  }

  /** Brings the platform back and puts all kept lines into the journals. */
  settle(): void {
    this.#isUp = true;
    this.#tend();
    for (const router of this.#routers) {
      // a router that lives reads the journal at each tick, also when no request comes.
      this.#sync(router);
      this.#append(router);
      this.store.read(router);
    }
  }

  /** Ticket that may be billed for a key: that of the claim, or the one that was issued. */
  ownerOf(key: number): TicketId | undefined {
    return this.store.claims.claims[`key-${key}`]?.ticket ?? this.#tickets.get(key);
  }

  #request({ router: index, key, dies }: RequestEvent): Outcome {
    const router = this.#router(index);
    this.#sync(router);
    // a router that cannot look the key up does not know whether it ran elsewhere.
    if (!router.spender.isOpen) return isNonIdempotent(key) ? 'unknown' : 'not-run';
    const known = router.known.get(key);
    if (known) return known;
    const ticket: TicketId = { issuer: router.spender.holder, number: key };
    if (hasTicket(key)) return this.#ticketed(router, ticket, dies);
    if (!isNonIdempotent(key)) return this.#run(router, ticket, dies);
    return this.#claimed(router, ticket) ?? this.#run(router, ticket, dies);
  }

  /** A request whose ticket only the issuer dispatches; an orphan's is claimed by the first. */
  #ticketed(router: ReducerRouter, next: TicketId, dies: DeathPoint): Outcome {
    const ticket = this.#tickets.get(next.number) ?? next;
    this.#tickets.set(ticket.number, ticket);
    const issuer = this.#routers.find((one) => one.spender.holder === ticket.issuer);
    if (issuer && !issuer.spender.isOpen) return 'unknown';
    if (issuer) return issuer.known.get(ticket.number) ?? this.#run(issuer, ticket, dies);
    if (!this.#isUp) return 'unknown';
    const journal = this.store.journals.find((one) => one.holders[ticket.issuer]);
    const entry = journal?.holders[ticket.issuer];
    if (!entry) return 'unknown';
    if (hasInterval(entry.done, ticket.number)) return 'answered';
    const isOver = entry.state === 'sealed' || entry.state === 'closed';
    if (!isOver || entry.openIntents.includes(ticket.number)) return 'unknown';
    return this.#claimed(router, next) ?? this.#run(router, next, dies);
  }

  /** Binds the key; nothing when the ticket has it, else what the caller is told. */
  #claimed(router: ReducerRouter, ticket: TicketId): Outcome | undefined {
    // a key that cannot be checked may belong to a request that ran elsewhere.
    if (!this.#isUp) return 'unknown';
    const key = `key-${ticket.number}`;
    const { page, answer } = claim(this.store.claims, key, { ticket, bodyDigest: '', at: 0 });
    this.store.claims = page;
    if (answer.type === 'own') return undefined;
    if (answer.type === 'other-body') return 'unknown';
    const { issuer, number } = answer.ticket;
    const owner = this.#routers.find((one) => one.spender.holder === issuer);
    const told = owner?.known.get(number);
    if (told) return told;
    const journal = this.store.journals.find((one) => one.holders[issuer]);
    const entry = journal?.holders[issuer];
    if (!entry) return 'unknown';
    if (hasInterval(entry.done, number)) return 'answered';
    // an owner that lives and refused the key as not run is asked again; here it is taken over.
    const isOver = entry.state === 'sealed' || entry.state === 'closed';
    if (entry.openIntents.includes(number) || !isOver) return 'unknown';
    const taken = takeOver(this.store.claims, key, answer.ticket, ticket, 0);
    this.store.claims = taken.page;
    return taken.answer.type === 'own' ? undefined : 'unknown';
  }

  #run(router: ReducerRouter, ticket: TicketId, dies: DeathPoint): Outcome {
    const key = ticket.number;
    const request = { account: ACCOUNT, workClass: 'w', amount: WORST_CASE };
    const limits = { budgetShare: 1, floor: 0 };
    this.#seekTokens(router);
    const reserved = router.spender.reserve({ ...request, ...limits });
    if (reserved.isErr) return 'not-run';
    if (isNonIdempotent(key) && !this.#record(router, { type: 'intent', ticket: key })) {
      router.spender.append({ type: 'not-run', ticket: key });
      router.spender.release(reserved.value);
      return 'not-run';
    }
    if (dies === 'before-dispatch') return this.#kill(router);
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
    if (dies === 'after-dispatch') return this.#kill(router);
    const mine = isNonIdempotent(key) || hasTicket(key) || this.#claimsLate(ticket);
    if (!mine) {
      router.spender.release(reserved.value);
      return this.#isUp && this.#isBilled(key) ? 'answered' : 'unknown';
    }
    const kept = this.#record(router, { type: 'bill', bill: billOf(ticket) });
    router.spender.release(reserved.value);
    router.known.set(key, kept ? 'answered' : 'unknown');
    if (dies === 'after-bill') return this.#kill(router);
    return kept ? 'answered' : 'unknown';
  }

  /** The claim of an idempotent request, which has to stand before its bill. */
  #claimsLate(ticket: TicketId): boolean {
    if (!this.#isUp) return false;
    const key = `key-${ticket.number}`;
    const { page, answer } = claim(this.store.claims, key, { ticket, bodyDigest: '', at: 0 });
    this.store.claims = page;
    if (answer.type !== 'other') return answer.type === 'own';
    const { issuer, number } = answer.ticket;
    const entry = this.store.journals.find((one) => one.holders[issuer])?.holders[issuer];
    const isOver = entry?.state === 'sealed' || entry?.state === 'closed';
    if (!entry || !isOver || hasInterval(entry.done, number)) return false;
    const taken = takeOver(this.store.claims, key, answer.ticket, ticket, 0);
    this.store.claims = taken.page;
    return taken.answer.type === 'own';
  }

  #isBilled(key: number): boolean {
    return this.store.journals.some((one) => one.bills.some((bill) => bill.ticket === key));
  }

  /** Takes what is lacking: from the pool, the ledger, peers, and at last other data centres. */
  #seekTokens(router: ReducerRouter): void {
    if (!this.#isUp) return;
    const { spender, dataCentre } = router;
    const lacking = (): Tokens => WORST_CASE - spender.free(ACCOUNT);
    const takeLacking = (): void => {
      if (lacking() <= 0) return;
      const here = pool(this.store.journal(dataCentre), ACCOUNT);
      this.store.grant(dataCentre, Math.max(0, lacking() + SPARE - here));
      this.#record(router, { type: 'take', account: ACCOUNT, amount: lacking() + SPARE });
    };
    takeLacking();
    if (lacking() <= 0) return;
    for (const peer of this.#routers) if (peer !== router) this.#giveIdle(peer);
    for (const name of DATA_CENTRES) if (name !== dataCentre) this.store.returnPool(name);
    takeLacking();
  }

  #giveIdle(peer: ReducerRouter): void {
    this.#sync(peer);
    const amount = peer.spender.isOpen ? peer.spender.free(ACCOUNT) : 0;
    if (amount > 0) this.#record(peer, { type: 'give', account: ACCOUNT, amount });
  }

  /** Writes a line; gives whether it is kept. */
  #record(router: ReducerRouter, change: JournalChange): boolean {
    const line = router.spender.append(change);
    this.#append(router);
    if (router.spender.appliedSeq < line.seq) this.#keep(router);
    return Math.max(router.spender.appliedSeq, router.keptSeq) >= line.seq;
  }

  /** Sends all lines; after a lost reply they are sent again, and count once. */
  #append(router: ReducerRouter): void {
    const { spender, dataCentre } = router;
    if (!this.#isUp || spender.unapplied.length === 0) return;
    const isTaken = this.store.append(dataCentre, spender.unapplied);
    if (isTaken && router.losesReply) this.store.append(dataCentre, spender.unapplied);
    router.losesReply = false;
    this.store.read(router);
  }

  #keep(router: ReducerRouter): void {
    const { spender, dataCentre } = router;
    const peers = this.#routers.filter((one) => spender.witnesses.includes(one.spender.holder));
    for (const peer of peers) {
      const lines = spender.unapplied;
      const kept = storeLines(peer.witness, lines, this.store.journal(dataCentre));
      if (kept.isErr) continue;
      peer.witness = kept.value;
      router.keptSeq = lines.at(-1)?.seq ?? router.keptSeq;
      return;
    }
  }

  /** What a router finds out when it looks: whether it has been sealed. */
  #sync(router: ReducerRouter): void {
    if (!this.#isUp) return;
    this.store.read(router);
    const { holder } = router.spender;
    const entry = this.store.journal(router.dataCentre).holders[holder];
    if (entry && entry.state !== 'open') {
      this.store.finishOwn(router);
      router.formerly.push(holder);
      router.spender = new Spender(this.#nextId(router.dataCentre));
      router.keptSeq = 0;
    }
    this.#tend();
  }

  #sealAlive({ dataCentre, spender }: ReducerRouter): void {
    this.#unsealed.push({ dataCentre, holder: spender.holder });
    this.#tend();
  }

  #kill(router: ReducerRouter): Outcome {
    const { dataCentre, spender } = router;
    this.#unsealed.push({ dataCentre, holder: spender.holder });
    const index = this.#routers.indexOf(router);
    this.#routers[index] = createRouter(dataCentre, this.#nextId(dataCentre));
    this.#tend();
    return 'no-answer';
  }

  /** While the platform answers: seals, and registers new incarnations. */
  #tend(): void {
    if (!this.#isUp) return;
    this.#unsealed = this.#unsealed.filter(
      ({ dataCentre, holder }) => !this.store.seal(dataCentre, holder, this.#routers),
    );
    for (const router of this.#routers) {
      const { holder } = router.spender;
      if (this.store.journal(router.dataCentre).holders[holder]) continue;
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
    if (!router) throw new LabError('bad-world', `name a router by number, not "${index}".`);
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
