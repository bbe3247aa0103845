/** Copy-on-write editing of a journal, so that a batch of lines copies each part at most once. */

import type { AccountId, IncarnationId, Tokens } from '../types/ids.js';
import type { JournalAccount, JournalHolder, JournalState } from '../types/journal.js';

/** A journal being edited; parts are copied on the first edit. */
export interface JournalDraft {
  state: JournalState;
  ownHolders: Set<IncarnationId>;
  ownAccounts: Set<AccountId>;
}

/** Begins an edit; the given state is never changed. */
export function draftOf(state: JournalState): JournalDraft {
  return {
    state: {
      ...state,
      accounts: { ...state.accounts },
      holders: { ...state.holders },
      bills: [...state.bills],
      outcomes: [...state.outcomes],
      ...(state.provisional && { provisional: [...state.provisional] }),
    },
    ownHolders: new Set(),
    ownAccounts: new Set(),
  };
}

/** Gives a holder that may be changed in place; `undefined` when it is not registered. */
export function editHolder(draft: JournalDraft, id: IncarnationId): JournalHolder | undefined {
  const holder = draft.state.holders[id];
  if (!holder || draft.ownHolders.has(id)) return holder;
  const copy = {
    ...holder,
    slices: { ...holder.slices },
    openIntents: [...holder.openIntents],
    segments: { ...holder.segments },
  };
  draft.state.holders[id] = copy;
  draft.ownHolders.add(id);
  return copy;
}

/** Gives an account that may be changed in place; a new one starts at zero. */
export function editAccount(draft: JournalDraft, id: AccountId): JournalAccount {
  const account = draft.state.accounts[id];
  if (account && draft.ownAccounts.has(id)) return account;
  const copy = account
    ? { ...account, spentByClass: { ...account.spentByClass } }
    : { grantedIn: 0, returnedOut: 0, spent: 0, spentByClass: {} };
  draft.state.accounts[id] = copy;
  draft.ownAccounts.add(id);
  return copy;
}

/** Adds to a holder's slice; an empty slice is left out. */
export function addToSlice(holder: JournalHolder, account: AccountId, amount: Tokens): void {
  const next = (holder.slices[account] ?? 0) + amount;
  holder.slices = withSlice(holder.slices, account, next);
}

/**
 * Frees what an ended holder still has. A negative slice stays: the transfer that covers it has
 * not been applied yet, and dropping it would charge the same tokens to the pool a second time.
 */
export function dropFreeSlices(holder: JournalHolder): void {
  const owing = Object.entries(holder.slices).filter(([, amount]) => amount < 0);
  holder.slices = Object.fromEntries(owing);
}

function withSlice(
  slices: Record<AccountId, Tokens>,
  account: AccountId,
  amount: Tokens,
): Record<AccountId, Tokens> {
  if (amount !== 0) return { ...slices, [account]: amount };
  return Object.fromEntries(Object.entries(slices).filter(([name]) => name !== account));
}
