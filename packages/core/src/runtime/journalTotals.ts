/** Token totals computed from a journal. */

import type { AccountId, Tokens } from '../types/ids.js';
import type { JournalHolder, JournalState } from '../types/journal.js';
import { entryOf } from '../utils/table.js';

/** Tokens of the data centre that no holder has. `take` and `startReturn` draw from this pool. */
export function pool(state: JournalState, account: AccountId): Tokens {
  const totals = entryOf(state.accounts, account);
  if (!totals) return 0;
  const held = sumSlices(state, account, () => true);
  const charged = totals.spent + held + provisionalSum(state, account);
  return Math.max(0, totals.grantedIn - totals.returnedOut - charged);
}

/**
 * Tokens of holders that are being sealed: charged, and not spendable until sealing is complete.
 */
export function inDoubt(state: JournalState, account: AccountId): Tokens {
  return sumSlices(state, account, (holder) => holder.state === 'sealing');
}

/**
 * Returns the first account whose spend and slices exceed its grants, or `undefined` if none does.
 */
export function checkInvariant(state: JournalState): AccountId | undefined {
  return Object.keys(state.accounts).find((account) => {
    const totals = entryOf(state.accounts, account);
    if (!totals) return false;
    const held = sumSlices(state, account, () => true);
    const charged = totals.spent + held + provisionalSum(state, account);
    return charged > totals.grantedIn - totals.returnedOut;
  });
}

/** Cost of answered requests whose bills are provisional because their key is not claimed yet. */
export function provisionalSum(state: JournalState, account: AccountId): Tokens {
  const own = (state.provisional ?? []).filter((bill) => bill.account === account);
  return own.reduce((sum, bill) => sum + bill.cost, 0);
}

function sumSlices(
  state: JournalState,
  account: AccountId,
  counts: (holder: JournalHolder) => boolean,
): Tokens {
  let sum = 0;
  for (const holder of Object.values(state.holders)) {
    if (counts(holder)) sum += entryOf(holder.slices, account) ?? 0;
  }
  return sum;
}
