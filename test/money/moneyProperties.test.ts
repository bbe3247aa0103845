import type { Bill, JournalLine, JournalState, SpenderReservation } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  Spender,
  applyLines,
  checkInvariant,
  createJournal,
  createWitness,
  dropApplied,
  fence,
  finishSeal,
  storeLines,
  recordGrant,
  registerHolder,
  startSeal,
} from '@flamingocourse/core';

const LIMIT = 1_000;
const HOLDERS = ['a', 'b', 'c'];
const KIRK = 'kirk';

type Step =
  | { type: 'take' | 'give' | 'bill' | 'intend'; who: number; amount: number }
  | { type: 'transfer'; who: number; to: number; amount: number }
  | {
      type: 'write' | 'write-unseen' | 'witness' | 'read' | 'read-late';
      who: number;
      amount: number;
    }
  | { type: 'start-seal' | 'finish-seal'; who: number; amount: number };

/** Three routers and one witness. Their steps run in any order, and replies may be lost. */
class World {
  journal: JournalState = recordGrant(createJournal('dc-a'), KIRK, LIMIT);
  witness = createWitness();
  /** The journal as the witness last read it, and as a delayed read returns it. */
  #witnessView: JournalState;
  #oldView: JournalState;
  /** Lines that the witness returned when each holder was fenced. */
  readonly #fenced = new Map<string, JournalLine[]>();
  /** Tickets whose final event was sent to a caller. */
  readonly seen = new Set<string>();
  readonly #spenders = HOLDERS.map((holder) => new Spender(holder));
  readonly #reserved = new Map<string, SpenderReservation[]>();
  #ticket = 0;

  constructor() {
    for (const holder of HOLDERS) this.journal = registerHolder(this.journal, holder, ['w'], 0);
    this.#witnessView = this.journal;
    this.#oldView = this.journal;
  }

  run(step: Step): void {
    const spender = this.#spenders[step.who] ?? assert.fail('no such holder');
    switch (step.type) {
      case 'take':
        spender.append({ type: 'take', account: KIRK, amount: step.amount });
        return;
      case 'give':
        if (spender.free(KIRK) < step.amount) return;
        spender.append({ type: 'give', account: KIRK, amount: step.amount });
        return;
      case 'transfer':
        this.#transfer(spender, this.#spenders[step.to] ?? spender, step.amount);
        return;
      case 'intend':
        this.#reserve(spender, step.amount);
        return;
      case 'bill':
        this.#bill(spender, step.amount);
        return;
      case 'write':
        if (this.#write(spender)) this.#read(spender);
        return;
      case 'write-unseen':
        this.#write(spender);
        return;
      case 'witness':
        this.#keep(spender);
        return;
      case 'read':
        this.#read(spender);
        return;
      case 'read-late':
        spender.sync(this.#oldView);
        this.#oldView = this.journal;
        return;
      case 'start-seal':
        this.#startSeal(spender.holder);
        return;
      case 'finish-seal':
        this.#finishSeal(spender.holder);
        return;
    }
  }

  /** Seals all holders, so that all kept lines are in the journal. */
  end(): void {
    for (const holder of HOLDERS) {
      this.#startSeal(holder);
      this.#finishSeal(holder);
    }
  }

  #transfer(from: Spender, to: Spender, amount: number): void {
    if (from === to || from.free(KIRK) < amount) return;
    const line = from.append({ type: 'transfer', to: to.holder, account: KIRK, amount });
    if (this.#keep(from)) to.credit(from.holder, line.seq, KIRK, amount);
  }

  #reserve(spender: Spender, amount: number): void {
    const request = { account: KIRK, workClass: 'w', amount, budgetShare: 1, floor: 0 };
    const result = spender.reserve(request);
    if (result.isErr) return;
    const list = this.#reserved.get(spender.holder) ?? [];
    this.#reserved.set(spender.holder, [...list, result.value]);
  }

  #bill(spender: Spender, amount: number): void {
    const reservation = this.#reserved.get(spender.holder)?.pop();
    if (!reservation) return;
    this.#ticket += 1;
    const cost = Math.min(amount, reservation.amount);
    spender.append({ type: 'bill', bill: billOf(spender.holder, this.#ticket, cost) });
    spender.release(reservation);
  }

  #write(spender: Spender): boolean {
    const written = applyLines(this.journal, spender.unapplied);
    if (written.isErr) return false;
    this.journal = written.value;
    return true;
  }

  #keep(spender: Spender): boolean {
    const kept = storeLines(this.witness, spender.unapplied, this.#witnessView);
    if (kept.isErr) return false;
    this.witness = kept.value;
    this.#markSeen(spender.unapplied);
    return true;
  }

  #read(spender: Spender): void {
    const before = [...spender.unapplied];
    spender.sync(this.journal);
    this.#markSeen(before.filter((line) => line.seq <= spender.appliedSeq));
    this.#witnessView = this.journal;
    this.witness = dropApplied(this.witness, this.journal);
  }

  #startSeal(holder: string): void {
    this.journal = startSeal(this.journal, holder).unwrapOr(this.journal);
    if (this.#fenced.has(holder)) return;
    const fenced = fence(this.witness, holder);
    this.witness = fenced.state;
    this.#fenced.set(holder, fenced.lines);
  }

  #finishSeal(holder: string): void {
    const lines = this.#fenced.get(holder);
    if (!lines) return;
    const sealed = finishSeal(this.journal, holder, lines);
    this.journal = sealed.unwrapOrElse((fault) => assert.fail(fault.message));
  }

  #markSeen(lines: readonly JournalLine[]): void {
    for (const { change } of lines) {
      if (change.type === 'bill') this.seen.add(`${change.bill.holder}/${change.bill.ticket}`);
    }
  }
}

function billOf(holder: string, ticket: number, cost: number): Bill {
  const use = { cost, promptTokens: 0, completionTokens: cost };
  return { holder, ticket, account: KIRK, workClass: 'w', service: 's', ...use, at: 0 };
}

const who = fc.nat(HOLDERS.length - 1);
const amount = fc.nat(600);
const common = fc.constantFrom('take', 'give', 'bill', 'intend', 'write', 'witness');
const rare = fc.constantFrom('write-unseen', 'read', 'read-late', 'start-seal', 'finish-seal');
const step = fc.oneof(
  { weight: 3, arbitrary: fc.record({ type: common, who, amount }) },
  { weight: 1, arbitrary: fc.record({ type: rare, who, amount }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('transfer'), who, to: who, amount }) },
);

test('no interleaving of writes, lost replies, witnesses and seals overspends or loses a bill', () => {
  // Guards against spending beyond a budget and against answers without a bill, when a sealed
  // router continues to spend from its slice.
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 80, size: 'max' }), (steps) => {
      const world = new World();
      for (const one of steps) {
        world.run(one);
        assert.equal(checkInvariant(world.journal), undefined);
        assert.ok((world.journal.accounts[KIRK]?.spent ?? 0) <= LIMIT);
      }
      world.end();
      assert.equal(checkInvariant(world.journal), undefined);
      for (const holder of Object.values(world.journal.holders))
        assert.deepEqual(holder.slices, {});
      const billed = world.journal.bills.map((bill) => `${bill.holder}/${bill.ticket}`);
      assert.equal(new Set(billed).size, billed.length);
      for (const ticket of world.seen) assert.ok(billed.includes(ticket), `${ticket} is unbilled`);
    }),
    { seed: 20_261_202, numRuns: 6_000 },
  );
});
