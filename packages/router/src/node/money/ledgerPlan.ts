/** What one sync changes in a ledger page; pure, so that it can be repeated on a newer page. */

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
} from '@flamingocourse/core';

/** What a plan is made from. */
export interface LedgerSituation {
  state: JournalState;
  /** Tokens that the pool would need to have for waiting requests. */
  shortfalls: Map<AccountId, Tokens>;
  policy: SlicePolicy;
  /** Tokens a second of this data centre. */
  demand: (account: AccountId) => number;
  rideThroughSeconds: number;
  dataCentres: number;
  now: EpochMs;
  /** Whether tokens are fetched too; not when some were just handed back for others. */
  refills: boolean;
  /** Whether an account's tokens are left to another data centre at the moment. */
  yields: (account: AccountId) => boolean;
  /** Filled in: unspent tokens that the data centre should hold. */
  levels: Map<AccountId, Tokens>;
}

/** Part of a level below which more is fetched; avoids a write for each small spend. */
const REFILL_BELOW = 0.75;

/** Opens declared accounts, copies the journal's counters and grants what the level asks for. */
export function planPage(
  page: LedgerPage,
  accounts: ClientAccountDeclaration[],
  situation: LedgerSituation,
): LedgerPage {
  let next = page;
  for (const { name, openingTokens } of accounts) {
    next = openAccount(next, name, openingTokens, situation.now);
    next = copyCounters(next, name, situation.state);
    if (situation.refills) next = refill(next, name, situation);
  }
  return next;
}

function copyCounters(page: LedgerPage, account: AccountId, state: JournalState): LedgerPage {
  const totals = state.accounts[account];
  if (!totals) return page;
  const { returnedOut, spent, spentByClass } = totals;
  const returned = mergeReturned(page, account, state.dataCentre, returnedOut);
  return mergeSpent(returned, account, state.dataCentre, spent, spentByClass);
}

function refill(page: LedgerPage, account: AccountId, situation: LedgerSituation): LedgerPage {
  const entry = page.accounts[account];
  if (!entry) return page;
  const { state, policy } = situation;
  const share = shareOf(entry, state.dataCentre);
  const held = share.grantedIn - share.returnedOut - share.spent;
  const shortfall = (situation.shortfalls.get(account) ?? 0) - pool(state, account);
  const level = policy.grantTarget({
    demandPerSecond: situation.demand(account),
    rideThroughSeconds: situation.rideThroughSeconds,
    remaining: remainingOf(entry),
    dataCentres: situation.dataCentres,
    shortfall: 0,
  });
  // what waiting requests lack is no surplus, though it stands above the level.
  situation.levels.set(account, Math.max(level, situation.shortfalls.get(account) ?? 0));
  // with enough for a level everywhere there is nothing to leave to another data centre.
  const yields = situation.yields(account) && ungranted(entry) < level * situation.dataCentres;
  const isLow = held < level * REFILL_BELOW && !yields;
  const wanted = Math.max(isLow ? level - held : 0, shortfall);
  return wanted > 0 ? grant(page, account, state.dataCentre, wanted) : page;
}

function remainingOf(entry: LedgerAccount): Tokens {
  const spent = Object.values(entry.shares).reduce((sum, share) => sum + share.spent, 0);
  return Math.max(0, entry.limit - spent);
}
