/** Edits of a journal that no rule allows, for mutants. */

import type { IncarnationId, JournalHolder, JournalState, Tokens } from '@flamingocourse/core';
import { ACCOUNT } from './createWorld.js';

/** Replaces parts of a holder's entry. */
export function draftOfHolder(
  state: JournalState,
  id: IncarnationId,
  part: Partial<JournalHolder>,
): JournalState {
  const entry = state.holders[id];
  if (!entry) return state;
  return { ...state, holders: { ...state.holders, [id]: { ...entry, ...part } } };
}

/** Adds to a holder's slice whatever the pool has. */
export function addToSlice(state: JournalState, id: IncarnationId, amount: Tokens): JournalState {
  const slices = state.holders[id]?.slices ?? {};
  const raised = { ...slices, [ACCOUNT]: (slices[ACCOUNT] ?? 0) + amount };
  return amount === 0 ? state : draftOfHolder(state, id, { slices: raised });
}
