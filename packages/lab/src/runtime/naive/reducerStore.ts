/** Platform objects of the reducer fleet, which only the production reducers change. */

import type { IncarnationId, JournalLine, JournalState, Tokens } from '@flamingocourse/core';
import type { ReducerRouter } from './reducerRouter.js';
import {
  currentIncarnationOf,
  applyLines,
  changeBudget,
  createClaimPage,
  createJournal,
  createLedgerPage,
  dropApplied,
  fence,
  finishSeal,
  grant,
  mergeReturned,
  openAccount,
  pool,
  recordGrant,
  registerHolder,
  shareOf,
  startReturn,
  startSeal,
  ungranted,
  entryOf,
} from '@flamingocourse/core';
import { LabError } from '../../utils/labError.js';

/** The only client account. */
export const ACCOUNT = 'k';

/** Data centres of the fleet. */
export const DATA_CENTRES = ['a', 'b'] as const;

/** Ledger, journals and claims. */
export class ReducerStore {
  claims = createClaimPage(0);
  ledger;
  readonly #journals = new Map<string, JournalState>();
  #topUps = 0;

  constructor(limit: Tokens) {
    this.ledger = openAccount(createLedgerPage(0), ACCOUNT, limit, 0);
    for (const name of DATA_CENTRES) this.#journals.set(name, createJournal(name));
  }

  get journals(): JournalState[] {
    return [...this.#journals.values()];
  }

  /** Tokens that are not granted to any data centre. */
  get ungranted(): Tokens {
    const entry = this.ledger.accounts[ACCOUNT];
    return entry ? ungranted(entry) : 0;
  }

  journal(dataCentre: string): JournalState {
    const journal = this.#journals.get(dataCentre);
    if (!journal) throw new LabError('bad-world', `unknown data centre "${dataCentre}".`);
    return journal;
  }

  topUp(amount: Tokens): void {
    this.#topUps += 1;
    const change = { id: `receipt-${this.#topUps}`, amount, by: 'operator', at: 0 };
    this.ledger = changeBudget(this.ledger, ACCOUNT, change).unwrapOr(this.ledger);
  }

  register(router: ReducerRouter, witnesses: IncarnationId[]): void {
    const { holder } = router.spender;
    const journal = this.journal(router.dataCentre);
    this.#set(registerHolder(journal, holder, witnesses, 0, router.formerly));
  }

  /** Applies lines; returns whether the journal accepted them. */
  append(dataCentre: string, lines: readonly JournalLine[]): boolean {
    const applied = applyLines(this.journal(dataCentre), lines);
    if (applied.isErr) return false;
    this.#set(applied.value);
    return true;
  }

  /** Grants a data centre up to an amount of tokens. */
  grant(dataCentre: string, amount: Tokens): void {
    this.ledger = grant(this.ledger, ACCOUNT, dataCentre, amount);
    const entry = this.ledger.accounts[ACCOUNT];
    const granted = entry ? shareOf(entry, dataCentre).grantedIn : 0;
    this.#set(recordGrant(this.journal(dataCentre), ACCOUNT, granted));
  }

  /** Returns the pool of a data centre to the ledger. */
  returnPool(dataCentre: string): void {
    const journal = this.journal(dataCentre);
    const next = startReturn(journal, ACCOUNT, pool(journal, ACCOUNT));
    this.#set(next);
    const returned = next.accounts[ACCOUNT]?.returnedOut ?? 0;
    this.ledger = mergeReturned(this.ledger, ACCOUNT, dataCentre, returned);
  }

  /** Starts to seal a holder, and finishes if all its witnesses answer; returns whether it is sealed. */
  seal(dataCentre: string, holder: IncarnationId, routers: readonly ReducerRouter[]): boolean {
    const started = startSeal(this.journal(dataCentre), holder);
    if (started.isErr) return false;
    this.#set(started.value);
    const lines: JournalLine[] = [];
    for (const witnessId of entryOf(started.value.holders, holder)?.witnesses ?? []) {
      const id = currentIncarnationOf(started.value, witnessId);
      const witness = routers.find((router) => router.spender.holder === id);
      if (!witness) return false;
      const fenced = fence(witness.witness, holder);
      witness.witness = fenced.state;
      lines.push(...fenced.lines);
    }
    const finished = finishSeal(this.journal(dataCentre), holder, lines);
    this.#set(finished.unwrapOr(this.journal(dataCentre)));
    return finished.isOk;
  }

  /** Finishes the sealing of a running router with all its unapplied lines. */
  finishOwn({ dataCentre, spender }: ReducerRouter): void {
    const journal = this.journal(dataCentre);
    const finished = finishSeal(journal, spender.holder, spender.unapplied);
    this.#set(finished.unwrapOr(journal));
  }

  /** Lets a router read the journal. */
  read(router: ReducerRouter): void {
    const journal = this.journal(router.dataCentre);
    router.spender.sync(journal);
    router.witness = dropApplied(router.witness, journal);
  }

  #set(journal: JournalState): void {
    this.#journals.set(journal.dataCentre, journal);
  }
}
