/** Changes to a journal that no reducer makes, for the mutants. */

import type { IncarnationId, JournalHolder, JournalState, Tokens } from '@flamingocourse/core';
import { entryOf } from '@flamingocourse/core';
import { ACCOUNT } from './initialState.js';

/** Replaces parts of a holder's entry in the journal. */
export function withHolderEntry(
  state: JournalState,
  id: IncarnationId,
  part: Partial<JournalHolder>,
): JournalState {
  const entry = entryOf(state.holders, id);
  if (!entry) return state;
  return { ...state, holders: { ...state.holders, [id]: { ...entry, ...part } } };
}

/** Adds tokens to a holder's slice even if the pool has fewer. */
export function addToSlice(state: JournalState, id: IncarnationId, amount: Tokens): JournalState {
  const slices = entryOf(state.holders, id)?.slices ?? {};
  const slicesAfter = { ...slices, [ACCOUNT]: (slices[ACCOUNT] ?? 0) + amount };
  return amount === 0 ? state : withHolderEntry(state, id, { slices: slicesAfter });
}
