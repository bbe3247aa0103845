/**
 * Reducer of a witness: lines of other holders, stored in memory until the journal includes them.
 * The number of holders and the number of lines per holder are bounded.
 */

import type { IncarnationId } from '../types/ids.js';
import type { JournalLine, JournalState } from '../types/journal.js';
import { Result } from 'true-myth';
import { entryOf, hasEntry } from '../utils/table.js';

/** Lines that a witness stores for one holder. */
export interface WitnessedHolder {
  /** Whether further lines of this holder are refused. */
  fenced: boolean;
  /** Sorted by sequence number. */
  lines: JournalLine[];
}

/** All lines that a witness stores. */
export interface WitnessState {
  holders: Record<IncarnationId, WitnessedHolder>;
}

/** Why a witness refused to store lines. */
export type WitnessFault = 'fenced' | 'full' | 'gap' | 'unknown-holder';

/** Limits on what a witness stores. */
export interface WitnessLimits {
  holders: number;
  linesPerHolder: number;
}

/** About 20 MB at the usual line size if every holder uses its maximum. */
export const DEFAULT_WITNESS_LIMITS: WitnessLimits = { holders: 32, linesPerHolder: 2_000 };

/** Creates a witness without any lines. */
export function createWitness(): WitnessState {
  return { holders: {} };
}

/**
 * Stores lines of one holder. Lines that are already stored are ignored. `journal` is the newest
 * journal that this witness has read. Only lines of holders that are open there are accepted, so a
 * fence can be removed once the journal shows that the holder has ended.
 *
 * @example
 * storeLines(witness, lines, journal).map((next) => (witness = next));
 */
export function storeLines(
  state: WitnessState,
  lines: readonly JournalLine[],
  journal: JournalState,
  limits: WitnessLimits = DEFAULT_WITNESS_LIMITS,
): Result<WitnessState, WitnessFault> {
  const holder = lines[0]?.holder;
  if (holder === undefined) return Result.ok(state);
  const kept = entryOf(state.holders, holder) ?? { fenced: false, lines: [] };
  if (kept.fenced) return Result.err('fenced');
  const entry = entryOf(journal.holders, holder);
  if (!entry) return Result.err('unknown-holder');
  if (entry.state !== 'open') return Result.err('fenced');
  // A gap to older stored lines is fine: a holder sends all lines that the journal does not
  // include.
  if (!isDense(lines)) return Result.err('gap');
  const merged = mergeLines(kept.lines, lines);
  if (merged.length > limits.linesPerHolder) return Result.err('full');
  const isNew = !hasEntry(state.holders, holder);
  if (isNew && Object.keys(state.holders).length >= limits.holders) return Result.err('full');
  return Result.ok(withHolder(state, holder, { fenced: false, lines: merged }));
}

/** Permanently refuses further lines of a holder and returns the stored ones. */
export function fence(
  state: WitnessState,
  holder: IncarnationId,
): { state: WitnessState; lines: JournalLine[] } {
  const lines = entryOf(state.holders, holder)?.lines ?? [];
  return { state: withHolder(state, holder, { fenced: true, lines }), lines };
}

/** Removes lines that the journal includes, and holders that have ended there. */
export function dropApplied(state: WitnessState, journal: JournalState): WitnessState {
  const kept = Object.entries(state.holders).flatMap(([id, held]) => {
    const entry = entryOf(journal.holders, id);
    // The fence may have arrived before a journal that lists the holder was read, so it must be
    // kept.
    if (!entry) return held.fenced ? [[id, held] as const] : [];
    if (entry.state === 'sealed' || entry.state === 'closed') return [];
    const lines = held.lines.filter((line) => line.seq > entry.seq);
    if (lines.length === 0 && !held.fenced) return [];
    return [[id, { ...held, lines }] as const];
  });
  return { holders: Object.fromEntries(kept) };
}

/** Returns the stored lines of all holders, for replay into the journal. */
export function storedLines(state: WitnessState): JournalLine[] {
  return Object.values(state.holders).flatMap((held) => held.lines);
}

function mergeLines(kept: JournalLine[], lines: readonly JournalLine[]): JournalLine[] {
  const bySeq = new Map(kept.map((line) => [line.seq, line]));
  for (const line of lines) bySeq.set(line.seq, bySeq.get(line.seq) ?? line);
  return [...bySeq.values()].sort((left, right) => left.seq - right.seq);
}

function isDense(lines: readonly JournalLine[]): boolean {
  const first = lines[0]?.seq ?? 0;
  return lines.every((line, index) => line.seq === first + index);
}

function withHolder(state: WitnessState, id: IncarnationId, held: WitnessedHolder): WitnessState {
  return { holders: { ...state.holders, [id]: held } };
}
