/**
 * Reducer of the journal. Each function returns a new state and is idempotent, so a write whose
 * reply was lost can be repeated on the state that is read back.
 */

import type {
  AccountId,
  DataCentreId,
  EpochMs,
  IncarnationId,
  TicketId,
  Tokens,
} from '../types/ids.js';
import type {
  Bill,
  BillSegment,
  JournalFault,
  JournalHolder,
  JournalLine,
  JournalState,
} from '../types/journal.js';
import type { JournalDraft } from './journalDraft.js';
import { Result } from 'true-myth';
import { applyChange, charge, findChangeFault } from './journalChange.js';
import { createDraft, releaseSlices, editAccount, editHolder } from './journalDraft.js';
import { pool } from './journalTotals.js';
import { entryOf } from '../utils/table.js';

/** Number of ended holders that are kept, so that retries of their tickets find them. */
const DEFAULT_MAX_ENDED_HOLDERS = 200;

/** Maximum number of earlier incarnations listed in a holder's entry. */
const MAX_FORMER_INCARNATIONS = 16;

/** Class and service in a bill for tokens whose actual bills were lost with their holder. */
export const UNATTRIBUTED = 'unattributed';

/** Ticket number of an unattributed bill. No request has this number. */
const NO_TICKET = -1;

/**
 * Creates the empty journal of a data centre.
 *
 * @example
 * createJournal('dc-a');
 */
export function createJournal(dataCentre: DataCentreId): JournalState {
  return { dataCentre, accounts: {}, holders: {}, segment: 0, bills: [], outcomes: [] };
}

/**
 * Applies one line; see {@link applyLines}.
 *
 * @example
 * applyLine(state, { holder, seq: 1, change: { type: 'take', account: 'kirk', amount: 500 } });
 */
export function applyLine(
  state: JournalState,
  line: JournalLine,
): Result<JournalState, JournalFault> {
  return applyLines(state, [line]);
}

/**
 * Applies lines in the given order, all or none. A line that was applied before changes nothing. A
 * line that skips a sequence number is a `gap`. A holder that is being sealed or has ended is
 * `not-open`.
 */
export function applyLines(
  state: JournalState,
  lines: readonly JournalLine[],
): Result<JournalState, JournalFault> {
  const fresh = lines.filter((line) => line.seq > (entryOf(state.holders, line.holder)?.seq ?? 0));
  if (fresh.length === 0 && lines.every((line) => entryOf(state.holders, line.holder))) {
    return Result.ok(state);
  }
  const draft = createDraft(state);
  for (const line of lines) {
    const fault = applyToDraft(draft, line, 'open');
    if (fault) return Result.err(fault);
  }
  return Result.ok(draft.state);
}

/** Registers an incarnation as a holder. A second registration changes nothing. */
export function registerHolder(
  state: JournalState,
  holder: IncarnationId,
  witnesses: IncarnationId[],
  now: EpochMs,
  formerly: IncarnationId[] = [],
): JournalState {
  if (entryOf(state.holders, holder)) return state;
  const entry: JournalHolder = {
    state: 'open',
    seq: 0,
    witnesses,
    slices: {},
    openIntents: [],
    done: [],
    segments: { first: state.segment, last: state.segment },
    since: now,
    ...(formerly.length > 0 && { formerly: formerly.slice(-MAX_FORMER_INCARNATIONS) }),
  };
  return { ...state, holders: { ...state.holders, [holder]: entry } };
}

/**
 * Finds the incarnation that now answers for a witness: the witness itself, or the latest
 * incarnation of the same process if the witness was sealed.
 */
export function currentIncarnationOf(state: JournalState, witness: IncarnationId): IncarnationId {
  const successors = Object.entries(state.holders)
    .filter(([, holder]) => holder.formerly?.includes(witness))
    .sort(([, left], [, right]) => (right.formerly?.length ?? 0) - (left.formerly?.length ?? 0));
  return successors[0]?.[0] ?? witness;
}

/** Starts to seal a holder. From now on the holder's own lines are refused. */
export function startSeal(
  state: JournalState,
  holder: IncarnationId,
): Result<JournalState, JournalFault> {
  const entry = entryOf(state.holders, holder);
  if (!entry) return Result.err(unknownHolder(holder));
  if (entry.state !== 'open') return Result.ok(state);
  return Result.ok(withHolder(state, holder, { ...entry, state: 'sealing' }));
}

/**
 * Completes the sealing with the lines of all witnesses. Positive slices return to the pool. The
 * caller must have an answer from every witness listed in the journal, received after `sealing` was
 * written.
 */
export function finishSeal(
  state: JournalState,
  holder: IncarnationId,
  lines: readonly JournalLine[],
): Result<JournalState, JournalFault> {
  const entry = entryOf(state.holders, holder);
  if (!entry) return Result.err(unknownHolder(holder));
  if (entry.state === 'sealed' || entry.state === 'closed') return Result.ok(state);
  if (entry.state !== 'sealing') return Result.err(notSealing(holder));
  const draft = createDraft(state);
  for (const line of sortLines(lines.filter((one) => one.holder === holder))) {
    const fault = applyToDraft(draft, line, 'sealing');
    if (fault) return Result.err(fault);
  }
  endHolder(draft, holder);
  return Result.ok(draft.state);
}

/**
 * Ends a holder that can never be sealed, because an operator stated that it and a witness are
 * destroyed. The tokens that it held may have been spent by bills that are lost, so they are billed
 * instead of freed.
 */
export function writeOff(
  state: JournalState,
  holder: IncarnationId,
  now: EpochMs,
): Result<JournalState, JournalFault> {
  const entry = entryOf(state.holders, holder);
  if (!entry) return Result.err(unknownHolder(holder));
  if (entry.state === 'sealed' || entry.state === 'closed') return Result.ok(state);
  if (entry.state !== 'sealing') return Result.err(notSealing(holder));
  const draft = createDraft(state);
  for (const [account, amount] of Object.entries(entry.slices)) {
    if (amount > 0) chargeUnattributed(draft, holder, account, amount, now);
  }
  endHolder(draft, holder);
  const ended = editHolder(draft, holder);
  if (ended) ended.writtenOff = true;
  return Result.ok(draft.state);
}

/** Decision on a provisional bill, taken from the claim on its key. */
export type ProvisionalVerdict = 'billed' | 'void';

/**
 * Settles a provisional bill once. `billed` adds it to the invoice. `void` frees its tokens,
 * because another ticket with the same key is billed. Later calls change nothing.
 *
 * @example
 * state = settleProvisional(state, { issuer: holder, number: 7 }, 'void');
 */
export function settleProvisional(
  state: JournalState,
  ticket: TicketId,
  verdict: ProvisionalVerdict,
): JournalState {
  const isMatch = (bill: Bill): boolean =>
    bill.holder === ticket.issuer && bill.ticket === ticket.number;
  const found = state.provisional?.find(isMatch);
  if (!found) return state;
  const draft = createDraft(state);
  draft.state.provisional = (state.provisional ?? []).filter((bill) => !isMatch(bill));
  if (verdict === 'billed') {
    const bill = { ...found };
    delete bill.unclaimed;
    charge(draft, bill);
  }
  return draft.state;
}

/**
 * Merges the total that the ledger granted, by maximum, so that an outdated total has no effect.
 */
export function recordGrant(
  state: JournalState,
  account: AccountId,
  grantedIn: Tokens,
): JournalState {
  if (grantedIn <= (entryOf(state.accounts, account)?.grantedIn ?? 0)) return state;
  const draft = createDraft(state);
  editAccount(draft, account).grantedIn = grantedIn;
  return draft.state;
}

/** Returns up to `amount` tokens from the pool to the ledger. Tokens in slices are not touched. */
export function startReturn(state: JournalState, account: AccountId, amount: Tokens): JournalState {
  const returned = Math.min(amount, pool(state, account));
  if (returned <= 0) return state;
  const draft = createDraft(state);
  editAccount(draft, account).returnedOut += returned;
  return draft.state;
}

/**
 * Returns the contents of the open segment, to be stored as an object before {@link rollSegment}.
 */
export function currentSegment(state: JournalState): BillSegment {
  return {
    dataCentre: state.dataCentre,
    number: state.segment,
    bills: state.bills,
    outcomes: state.outcomes,
  };
}

/**
 * Removes the contents of a stored segment from the journal and opens the next segment. Bills are
 * only appended, so the segment is a prefix of the journal's bills even if a router crashed between
 * the two writes and more bills were added since.
 */
export function rollSegment(state: JournalState, segment: BillSegment): JournalState {
  if (segment.number !== state.segment) return state;
  const bills = state.bills.slice(segment.bills.length);
  const outcomes = state.outcomes.slice(segment.outcomes.length);
  const number = state.segment + 1;
  const left = new Set([...bills, ...outcomes].map((entry) => entry.holder));
  const holders = Object.entries(state.holders).map(([id, holder]) => {
    const segments = { ...holder.segments, last: number };
    return [id, left.has(id) ? { ...holder, segments } : holder] as const;
  });
  return { ...state, holders: Object.fromEntries(holders), segment: number, bills, outcomes };
}

/** Removes the oldest ended holders beyond the newest `keep`, so that the object stays small. */
export function pruneHolders(state: JournalState, keep = DEFAULT_MAX_ENDED_HOLDERS): JournalState {
  const ended = Object.entries(state.holders)
    .filter(([, holder]) => holder.state === 'sealed' || holder.state === 'closed')
    .filter(([, holder]) => Object.keys(holder.slices).length === 0)
    .sort(([, left], [, right]) => right.since - left.since);
  const dropped = new Set(ended.slice(keep).map(([id]) => id));
  if (dropped.size === 0) return state;
  const kept = Object.entries(state.holders).filter(([id]) => !dropped.has(id));
  return { ...state, holders: Object.fromEntries(kept) };
}

function applyToDraft(
  draft: JournalDraft,
  line: JournalLine,
  required: JournalHolder['state'],
): JournalFault | undefined {
  const entry = entryOf(draft.state.holders, line.holder);
  if (!entry) return unknownHolder(line.holder);
  if (line.seq <= entry.seq) return undefined;
  if (entry.state !== required) return notOpen(line.holder, entry.state);
  if (line.seq !== entry.seq + 1) return gap(line, entry.seq);
  const fault = findChangeFault(line);
  if (fault) return fault;
  const holder = editHolder(draft, line.holder);
  if (!holder) return unknownHolder(line.holder);
  holder.seq = line.seq;
  applyChange(draft, holder, line);
  return undefined;
}

function endHolder(draft: JournalDraft, id: IncarnationId): void {
  const holder = editHolder(draft, id);
  if (!holder) return;
  // A `close` line that a witness stored has already ended the holder.
  if (holder.state !== 'closed') holder.state = 'sealed';
  releaseSlices(holder);
}

function chargeUnattributed(
  draft: JournalDraft,
  holder: IncarnationId,
  account: AccountId,
  amount: Tokens,
  now: EpochMs,
): void {
  editAccount(draft, account).spent += amount;
  draft.state.bills.push({
    holder,
    ticket: NO_TICKET,
    account,
    workClass: UNATTRIBUTED,
    service: UNATTRIBUTED,
    cost: amount,
    promptTokens: 0,
    completionTokens: 0,
    at: now,
  });
}

function withHolder(state: JournalState, id: IncarnationId, holder: JournalHolder): JournalState {
  return { ...state, holders: { ...state.holders, [id]: holder } };
}

function sortLines(lines: readonly JournalLine[]): JournalLine[] {
  return [...lines].sort((left, right) => left.seq - right.seq);
}

function unknownHolder(holder: IncarnationId): JournalFault {
  return {
    code: 'unknown-holder',
    message: `register holder "${holder}" before sending its lines.`,
  };
}

function notOpen(holder: IncarnationId, state: JournalHolder['state']): JournalFault {
  return {
    code: 'not-open',
    message: `holder "${holder}" is ${state}; register a new incarnation.`,
  };
}

function notSealing(holder: IncarnationId): JournalFault {
  return {
    code: 'not-sealing',
    message: `holder "${holder}" is not being sealed; call startSeal first.`,
  };
}

function gap(line: JournalLine, seq: number): JournalFault {
  const message = `holder "${line.holder}" is at line ${seq}; send line ${seq + 1} before ${line.seq}.`;
  return { code: 'gap', message };
}
