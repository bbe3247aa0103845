/**
 * Reducer of a witness: lines of other holders, kept in memory until the journal has them.
 * Bounded by the number of lines per holder and of holders.
 */

import type { IncarnationId } from '../types/ids.js';
import type { JournalLine, JournalState } from '../types/journal.js';
import { Result } from 'true-myth';

/** What a witness keeps for one holder. */
export interface WitnessedHolder {
  fenced: boolean;
  /** In order. */
  lines: JournalLine[];
}

/** What a witness keeps. */
export interface WitnessState {
  holders: Record<IncarnationId, WitnessedHolder>;
}

/** Why a witness did not keep lines. */
export type WitnessFault = 'fenced' | 'full' | 'gap' | 'unknown-holder';

/** Bounds of a witness's memory. */
export interface WitnessLimits {
  holders: number;
  linesPerHolder: number;
}

/** About 20 MB at the usual size of a line, were every holder to fill its part. */
export const DEFAULT_WITNESS_LIMITS: WitnessLimits = { holders: 32, linesPerHolder: 2_000 };

/** Creates a witness that keeps nothing yet. */
export function createWitness(): WitnessState {
  return { holders: {} };
}

/**
 * Keeps lines of one holder. Lines kept already count once. `journal` is the newest journal that
 * this witness has read: only a holder that is open there is accepted, so that a fence may be
 * forgotten once the journal shows the holder's end.
 *
 * @example
 * keepLines(witness, lines, journal).map((next) => (witness = next));
 */
export function keepLines(
  state: WitnessState,
  lines: readonly JournalLine[],
  journal: JournalState,
  limits: WitnessLimits = DEFAULT_WITNESS_LIMITS,
): Result<WitnessState, WitnessFault> {
  const holder = lines[0]?.holder;
  if (holder === undefined) return Result.ok(state);
  const kept = state.holders[holder] ?? { fenced: false, lines: [] };
  if (kept.fenced) return Result.err('fenced');
  const entry = journal.holders[holder];
  if (!entry) return Result.err('unknown-holder');
  if (entry.state !== 'open') return Result.err('fenced');
  // lines between these and older kept ones are in the journal: a holder sends all that are not.
  if (!isDense(lines)) return Result.err('gap');
  const merged = mergeLines(kept.lines, lines);
  if (merged.length > limits.linesPerHolder) return Result.err('full');
  const isNew = !state.holders[holder];
  if (isNew && Object.keys(state.holders).length >= limits.holders) return Result.err('full');
  return Result.ok(withHolder(state, holder, { fenced: false, lines: merged }));
}

/** Ends the keeping for a holder, for good, and gives what was kept. */
export function fence(
  state: WitnessState,
  holder: IncarnationId,
): { state: WitnessState; lines: JournalLine[] } {
  const lines = state.holders[holder]?.lines ?? [];
  return { state: withHolder(state, holder, { fenced: true, lines }), lines };
}

/** Forgets lines that the journal has, and holders that have ended there. */
export function dropApplied(state: WitnessState, journal: JournalState): WitnessState {
  const kept = Object.entries(state.holders).flatMap(([id, held]) => {
    const entry = journal.holders[id];
    // a fence may come before the journal that shows the holder; it must outlast that.
    if (!entry) return held.fenced ? [[id, held] as const] : [];
    if (entry.state === 'sealed' || entry.state === 'closed') return [];
    const lines = held.lines.filter((line) => line.seq > entry.seq);
    if (lines.length === 0 && !held.fenced) return [];
    return [[id, { ...held, lines }] as const];
  });
  return { holders: Object.fromEntries(kept) };
}

/** Lines of all holders, for replay into the journal. */
export function keptLines(state: WitnessState): JournalLine[] {
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
