/**
 * Copy-on-write editing of a journal. A batch of lines copies each holder and account only once.
 */

import type { AccountId, IncarnationId, Tokens } from '../types/ids.js';
import type { JournalAccount, JournalHolder, JournalState } from '../types/journal.js';
import { entryOf, setEntry } from '../utils/table.js';

/** A journal being edited. Holders and accounts are copied on their first edit. */
export interface JournalDraft {
  state: JournalState;
  copiedHolders: Set<IncarnationId>;
  copiedAccounts: Set<AccountId>;
}

/** Starts an edit. The given state is not changed. */
export function createDraft(state: JournalState): JournalDraft {
  return {
    state: {
      ...state,
      accounts: { ...state.accounts },
      holders: { ...state.holders },
      bills: [...state.bills],
      outcomes: [...state.outcomes],
      ...(state.provisional && { provisional: [...state.provisional] }),
    },
    copiedHolders: new Set(),
    copiedAccounts: new Set(),
  };
}

/** Returns a holder that may be changed in place, or `undefined` if it is not registered. */
export function editHolder(draft: JournalDraft, id: IncarnationId): JournalHolder | undefined {
  const holder = entryOf(draft.state.holders, id);
  if (!holder || draft.copiedHolders.has(id)) return holder;
  const copy = {
    ...holder,
    slices: { ...holder.slices },
    openIntents: [...holder.openIntents],
    segments: { ...holder.segments },
  };
  setEntry(draft.state.holders, id, copy);
  draft.copiedHolders.add(id);
  return copy;
}

/** Returns an account that may be changed in place. A new account starts at zero. */
export function editAccount(draft: JournalDraft, id: AccountId): JournalAccount {
  const account = entryOf(draft.state.accounts, id);
  if (account && draft.copiedAccounts.has(id)) return account;
  const copy: JournalAccount = account
    ? { ...account, spentByClass: { ...account.spentByClass } }
    : { grantedIn: 0, returnedOut: 0, spent: 0, spentByClass: {} };
  setEntry(draft.state.accounts, id, copy);
  draft.copiedAccounts.add(id);
  return copy;
}

/** Adds tokens to a holder's slice. A slice of zero is removed. */
export function addToSlice(holder: JournalHolder, account: AccountId, amount: Tokens): void {
  const next = (entryOf(holder.slices, account) ?? 0) + amount;
  holder.slices = withSlice(holder.slices, account, next);
}

/**
 * Frees the positive slices of an ended holder. A negative slice stays: the transfer that covers it
 * has not been applied yet, and removing it would charge the same tokens to the pool twice.
 */
export function releaseSlices(holder: JournalHolder): void {
  const negative = Object.entries(holder.slices).filter(([, amount]) => amount < 0);
  holder.slices = Object.fromEntries(negative);
}

function withSlice(
  slices: Record<AccountId, Tokens>,
  account: AccountId,
  amount: Tokens,
): Record<AccountId, Tokens> {
  if (amount !== 0) return { ...slices, [account]: amount };
  return Object.fromEntries(Object.entries(slices).filter(([name]) => name !== account));
}
