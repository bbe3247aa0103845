/**
 * Computes the changes of one sync to a ledger page. Pure, so it can be repeated on a newer page.
 */

import type {
  AccountId,
  ClientAccountDeclaration,
  EpochMs,
  JournalState,
  LedgerAccount,
  LedgerPage,
  SlicePolicy,
  Tokens,
} from '@flamingocourse/core';
import {
  grant,
  mergeReturned,
  mergeSpent,
  openAccount,
  pool,
  shareOf,
  ungranted,
  entryOf,
} from '@flamingocourse/core';

/** Input of {@link planPage}. `targets` is an output. */
export interface LedgerPlanInput {
  state: JournalState;
  /** Tokens that the pool needs for waiting requests, by account. */
  shortfalls: Map<AccountId, Tokens>;
  policy: SlicePolicy;
  /** Demand of this data centre for an account, in tokens per second. */
  demandPerSecond: (account: AccountId) => number;
  rideThroughSeconds: number;
  dataCentres: number;
  now: EpochMs;
  /**
   * Whether tokens may be granted. False right after tokens were returned for other data centres.
   */
  refills: boolean;
  /** Whether refills of an account are paused so that another data centre gets its tokens. */
  isRefillPaused: (account: AccountId) => boolean;
  /** Filled in by the plan: unspent tokens that the data centre should hold, by account. */
  targets: Map<AccountId, Tokens>;
}

/** Fraction of the target below which tokens are granted. Avoids a write for each small spend. */
const REFILL_BELOW_FRACTION = 0.75;

/**
 * Opens declared accounts, copies the counters of the journal and grants tokens up to the target.
 */
export function planPage(
  page: LedgerPage,
  accounts: ClientAccountDeclaration[],
  input: LedgerPlanInput,
): LedgerPage {
  let next = page;
  for (const { name, openingTokens } of accounts) {
    next = openAccount(next, name, openingTokens, input.now);
    next = copyCounters(next, name, input.state);
    if (input.refills) next = refill(next, name, input);
  }
  return next;
}

function copyCounters(page: LedgerPage, account: AccountId, state: JournalState): LedgerPage {
  const totals = entryOf(state.accounts, account);
  if (!totals) return page;
  const { returnedOut, spent, spentByClass } = totals;
  const returned = mergeReturned(page, account, state.dataCentre, returnedOut);
  return mergeSpent(returned, account, state.dataCentre, spent, spentByClass);
}

function refill(page: LedgerPage, account: AccountId, input: LedgerPlanInput): LedgerPage {
  const entry = entryOf(page.accounts, account);
  if (!entry) return page;
  const { state, policy } = input;
  const share = shareOf(entry, state.dataCentre);
  const held = share.grantedIn - share.returnedOut - share.spent;
  const shortfall = (input.shortfalls.get(account) ?? 0) - pool(state, account);
  const target = policy.grantTarget({
    demandPerSecond: input.demandPerSecond(account),
    rideThroughSeconds: input.rideThroughSeconds,
    remaining: remainingOf(entry),
    dataCentres: input.dataCentres,
    shortfall: 0,
  });
  // Tokens for waiting requests are no surplus, although they exceed the target.
  input.targets.set(account, Math.max(target, input.shortfalls.get(account) ?? 0));
  // No pause is needed while the ledger can still grant the target to every data centre.
  const isPaused = input.isRefillPaused(account) && ungranted(entry) < target * input.dataCentres;
  const isLow = held < target * REFILL_BELOW_FRACTION && !isPaused;
  const wanted = Math.max(isLow ? target - held : 0, shortfall);
  return wanted > 0 ? grant(page, account, state.dataCentre, wanted) : page;
}

function remainingOf(entry: LedgerAccount): Tokens {
  const spent = Object.values(entry.shares).reduce((sum, share) => sum + share.spent, 0);
  return Math.max(0, entry.limit - spent);
}
