/**
 * Reducer of the journal. Each function gives a new state and is idempotent, so that a write whose
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
import { applyChange, charge, faultInChange } from './journalChange.js';
import { draftOf, dropFreeSlices, editAccount, editHolder } from './journalDraft.js';
import { pool } from './journalTotals.js';

/** Ended holders that stay readable for retries of their tickets. */
const DEFAULT_KEPT_HOLDERS = 200;

/** Earlier incarnations that a holder names. */
const MAX_FORMER = 16;

/** Class and service named by a bill for tokens whose real bills were lost with their holder. */
export const UNATTRIBUTED = 'unattributed';

/** Ticket number of an unattributed bill; no request has it. */
const NO_TICKET = -1;

/**
 * Creates the journal of a data centre that has none yet.
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
 * Applies lines in the given order, all or none. A line that is in already changes nothing; a line
 * beyond the next one is a `gap`; a holder that is being sealed or has ended is `not-open`.
 */
export function applyLines(
  state: JournalState,
  lines: readonly JournalLine[],
): Result<JournalState, JournalFault> {
  const fresh = lines.filter((line) => line.seq > (state.holders[line.holder]?.seq ?? 0));
  if (fresh.length === 0 && lines.every((line) => state.holders[line.holder])) {
    return Result.ok(state);
  }
  const draft = draftOf(state);
  for (const line of lines) {
    const fault = applyToDraft(draft, line, 'open');
    if (fault) return Result.err(fault);
  }
  return Result.ok(draft.state);
}

/** Registers an incarnation; a second registration changes nothing. */
export function registerHolder(
  state: JournalState,
  holder: IncarnationId,
  witnesses: IncarnationId[],
  now: EpochMs,
  formerly: IncarnationId[] = [],
): JournalState {
  if (state.holders[holder]) return state;
  const entry: JournalHolder = {
    state: 'open',
    seq: 0,
    witnesses,
    slices: {},
    openIntents: [],
    done: [],
    segments: { first: state.segment, last: state.segment },
    since: now,
    ...(formerly.length > 0 && { formerly: formerly.slice(-MAX_FORMER) }),
  };
  return { ...state, holders: { ...state.holders, [holder]: entry } };
}

/**
 * Finds the incarnation that now answers for a witness: the witness itself, or the one that its
 * process became after it was sealed.
 */
export function answeringIncarnation(state: JournalState, witness: IncarnationId): IncarnationId {
  const successors = Object.entries(state.holders)
    .filter(([, holder]) => holder.formerly?.includes(witness))
    .sort(([, left], [, right]) => (right.formerly?.length ?? 0) - (left.formerly?.length ?? 0));
  return successors[0]?.[0] ?? witness;
}

/** Begins to seal a holder: from here on its own lines are refused. */
export function startSeal(
  state: JournalState,
  holder: IncarnationId,
): Result<JournalState, JournalFault> {
  const entry = state.holders[holder];
  if (!entry) return Result.err(unknownHolder(holder));
  if (entry.state !== 'open') return Result.ok(state);
  return Result.ok(withHolder(state, holder, { ...entry, state: 'sealing' }));
}

/**
 * Ends the sealing with the lines of all its witnesses; positive slices fall back into the pool.
 * The caller must have the answers of every witness that the journal names, taken after
 * `sealing` was written.
 */
export function finishSeal(
  state: JournalState,
  holder: IncarnationId,
  lines: readonly JournalLine[],
): Result<JournalState, JournalFault> {
  const entry = state.holders[holder];
  if (!entry) return Result.err(unknownHolder(holder));
  if (entry.state === 'sealed' || entry.state === 'closed') return Result.ok(state);
  if (entry.state !== 'sealing') return Result.err(notSealing(holder));
  const draft = draftOf(state);
  for (const line of sortLines(lines.filter((one) => one.holder === holder))) {
    const fault = applyToDraft(draft, line, 'sealing');
    if (fault) return Result.err(fault);
  }
  endHolder(draft, holder);
  return Result.ok(draft.state);
}

/**
 * Ends a holder that can never be sealed, because an operator states that it and a witness are
 * destroyed. What it held may have been spent by bills that are lost, so it is billed, not freed.
 */
export function writeOff(
  state: JournalState,
  holder: IncarnationId,
  now: EpochMs,
): Result<JournalState, JournalFault> {
  const entry = state.holders[holder];
  if (!entry) return Result.err(unknownHolder(holder));
  if (entry.state === 'sealed' || entry.state === 'closed') return Result.ok(state);
  if (entry.state !== 'sealing') return Result.err(notSealing(holder));
  const draft = draftOf(state);
  for (const [account, amount] of Object.entries(entry.slices)) {
    if (amount > 0) chargeUnattributed(draft, holder, account, amount, now);
  }
  endHolder(draft, holder);
  const ended = editHolder(draft, holder);
  if (ended) ended.writtenOff = true;
  return Result.ok(draft.state);
}

/** What the claim said about a provisional bill. */
export type ProvisionalVerdict = 'billed' | 'void';

/**
 * Settles a provisional bill, once: `billed` puts it on the invoice; `void` frees its tokens, because
 * another ticket of the same key is billed. Later calls change nothing.
 *
 * @example
 * state = settleProvisional(state, { issuer: holder, number: 7 }, 'void');
 */
export function settleProvisional(
  state: JournalState,
  ticket: TicketId,
  verdict: ProvisionalVerdict,
): JournalState {
  const isMeant = (bill: Bill): boolean =>
    bill.holder === ticket.issuer && bill.ticket === ticket.number;
  const found = state.provisional?.find(isMeant);
  if (!found) return state;
  const draft = draftOf(state);
  draft.state.provisional = (state.provisional ?? []).filter((bill) => !isMeant(bill));
  if (verdict === 'billed') {
    const bill = { ...found };
    delete bill.unclaimed;
    charge(draft, bill);
  }
  return draft.state;
}

/** Copies what the ledger granted, by maximum, so that a late copy changes nothing. */
export function recordGrant(
  state: JournalState,
  account: AccountId,
  grantedIn: Tokens,
): JournalState {
  if (grantedIn <= (state.accounts[account]?.grantedIn ?? 0)) return state;
  const draft = draftOf(state);
  editAccount(draft, account).grantedIn = grantedIn;
  return draft.state;
}

/** Hands up to `amount` tokens back to the ledger, out of the pool only. */
export function startReturn(state: JournalState, account: AccountId, amount: Tokens): JournalState {
  const returned = Math.min(amount, pool(state, account));
  if (returned <= 0) return state;
  const draft = draftOf(state);
  editAccount(draft, account).returnedOut += returned;
  return draft.state;
}

/** What the open segment holds, to be created as an object before {@link rollSegment}. */
export function openSegment(state: JournalState): BillSegment {
  return {
    dataCentre: state.dataCentre,
    number: state.segment,
    bills: state.bills,
    outcomes: state.outcomes,
  };
}

/**
 * Drops what a created segment holds and opens the next. Bills are only ever appended, so the
 * segment is a prefix of the journal also when a router died between the two writes and more bills
 * came since.
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

/** Removes the oldest ended holders beyond `keep`, so that the object stays small. */
export function pruneHolders(state: JournalState, keep = DEFAULT_KEPT_HOLDERS): JournalState {
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
  const entry = draft.state.holders[line.holder];
  if (!entry) return unknownHolder(line.holder);
  if (line.seq <= entry.seq) return undefined;
  if (entry.state !== required) return notOpen(line.holder, entry.state);
  if (line.seq !== entry.seq + 1) return gap(line, entry.seq);
  const fault = faultInChange(line);
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
  // a kept `close` line has ended the holder already.
  if (holder.state !== 'closed') holder.state = 'sealed';
  dropFreeSlices(holder);
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
  return { code: 'unknown-holder', message: `register holder "${holder}" before its lines.` };
}

function notOpen(holder: IncarnationId, state: JournalHolder['state']): JournalFault {
  return {
    code: 'not-open',
    message: `holder "${holder}" is ${state}; start over as a new incarnation.`,
  };
}

function notSealing(holder: IncarnationId): JournalFault {
  return { code: 'not-sealing', message: `start to seal holder "${holder}" first.` };
}

function gap(line: JournalLine, seq: number): JournalFault {
  const message = `holder "${line.holder}" is at line ${seq}; send line ${seq + 1} before ${line.seq}.`;
  return { code: 'gap', message };
}
