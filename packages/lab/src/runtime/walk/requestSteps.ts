/** Steps of a request: claim of its key, reservation, intent, dispatch, bill and final event. */

import type { Bill, IncarnationId } from '@flamingocourse/core';
import type { Observed, Run, StepType, SystemState } from './types.js';
import type { StepFunction } from './storeSteps.js';
import { entryOf } from '@flamingocourse/core';
import {
  ACCOUNT,
  IDLE,
  holderIn,
  journalOf,
  reserveFor,
  spenderOf,
  withHolder,
} from './initialState.js';
import { NON_IDEMPOTENT } from './rules.js';
import { writeLine } from './storeSteps.js';

/** Tokens reserved for a request. */
const WORST_CASE = 2;

/** Step functions by type. */
export const requestSteps: Partial<Record<StepType, StepFunction>> = {
  start: (system, { holder, request }, rules) => {
    const { run, ended } = holderIn(system, holder);
    const ticket = ticketName(holder, request);
    if (ended || run.phase !== 'idle') return undefined;
    if (system.observed.started.includes(ticket)) return undefined;
    const phase = rules.claimsFirst(request) ? 'claiming' : 'claimed';
    const next = withRun(system, holder, { ...IDLE, phase, request });
    return observe(next, { started: insert(system.observed.started, ticket) });
  },
  claim: (system, { holder }, rules) => {
    const { run } = holderIn(system, holder);
    const isBeforeDispatch = run.phase === 'claiming';
    const isBeforeBill = run.phase === 'running' && !rules.claimsFirst(run.request);
    if (!isBeforeDispatch && !isBeforeBill) return undefined;
    const wanted = { ticket: ticketOf(holder, run), bodyDigest: 'b', at: 0 };
    const { page, answer } = rules.claim(system.claims, keyOf(run), wanted);
    const next = { ...system, claims: page };
    if (answer.type !== 'own') return withRun(next, holder, IDLE);
    return withRun(next, holder, { ...run, phase: isBeforeDispatch ? 'claimed' : 'ownBill' });
  },
  takeOver: (system, { holder }, rules) => {
    const { run } = holderIn(system, holder);
    const isBeforeDispatch = run.phase === 'claiming';
    const isBeforeBill = run.phase === 'running' && !rules.claimsFirst(run.request);
    const from = entryOf(system.claims.claims, keyOf(run))?.ticket;
    if ((!isBeforeDispatch && !isBeforeBill) || !from || from.issuer === holder) return undefined;
    if (!rules.isProvablyNotRun(journalOf(system, from.issuer), from)) return undefined;
    const taken = rules.takeOver(system.claims, keyOf(run), from, ticketOf(holder, run), 0);
    if (taken.answer.type !== 'own') return undefined;
    const phase = isBeforeDispatch ? 'claimed' : 'ownBill';
    const next = withRun({ ...system, claims: taken.page }, holder, { ...run, phase });
    if (run.request !== NON_IDEMPOTENT) return next;
    const notRun = insert(system.observed.notRun, ticketName(from.issuer, from.number));
    return observe(next, { notRun });
  },
  reserve: (system, { holder }) => {
    const { run, ended } = holderIn(system, holder);
    const spender = spenderOf(system, holder);
    if (ended || run.phase !== 'claimed' || !spender) return undefined;
    if (!reserveFor(spender, WORST_CASE)) return undefined;
    return withRun(system, holder, { ...run, phase: 'reserved', amount: WORST_CASE });
  },
  intent: (system, { holder }, _rules, maxLines) => {
    const { run } = holderIn(system, holder);
    if (run.phase !== 'reserved' || run.request !== NON_IDEMPOTENT) return undefined;
    const next = writeLine(system, holder, { type: 'intent', ticket: run.request }, maxLines);
    return next && withRun(next, holder, waitForLine(next, holder, { ...run, phase: 'intended' }));
  },
  dispatch: (system, { holder }, rules) => {
    const { run } = holderIn(system, holder);
    if (!rules.mayDispatch(run, durableSeq(system, holder))) return undefined;
    const next = withRun(system, holder, { ...run, phase: 'running' });
    const ticket = ticketName(holder, run.request);
    return observe(next, { dispatched: insert(system.observed.dispatched, ticket) });
  },
  giveUp: (system, { holder }, _rules, maxLines) => {
    const { run } = holderIn(system, holder);
    if (run.phase !== 'intended') return undefined;
    const next = writeLine(system, holder, { type: 'not-run', ticket: run.request }, maxLines);
    if (!next) return undefined;
    const notRun = insert(system.observed.notRun, ticketName(holder, run.request));
    return observe(withRun(next, holder, IDLE), { notRun });
  },
  bill: (system, { holder, amount }, rules, maxLines) => {
    const { run } = holderIn(system, holder);
    const isOwner = rules.claimsFirst(run.request) || !rules.billNeedsClaim();
    if (run.phase !== 'ownBill' && !(run.phase === 'running' && isOwner)) return undefined;
    const cost = rules.billCost(amount, run.amount);
    const change = { type: 'bill', bill: billOf(holder, run, cost) } as const;
    const next = writeLine(system, holder, change, maxLines);
    const billed: Run = { ...run, phase: 'billed', amount: 0 };
    return next && withRun(next, holder, waitForLine(next, holder, billed));
  },
  finalEvent: (system, { holder }, rules) => {
    const { run } = holderIn(system, holder);
    if (!rules.mayAnswer(run, durableSeq(system, holder))) return undefined;
    const next = withRun(system, holder, IDLE);
    return observe(next, { answered: insert(system.observed.answered, run.request) });
  },
};

/** Name of a ticket: `issuer/request`. */
export function ticketName(holder: IncarnationId, request: number): string {
  return `${holder}/${request}`;
}

function durableSeq(system: SystemState, holder: IncarnationId): number {
  const { view, storedSeq } = holderIn(system, holder);
  return Math.max(storedSeq, entryOf(view.holders, holder)?.seq ?? 0);
}

/** Makes the next step of a run wait for the last line of its holder. */
function waitForLine(system: SystemState, holder: IncarnationId, run: Run): Run {
  return { ...run, lineAt: holderIn(system, holder).history.length };
}

function withRun(system: SystemState, holder: IncarnationId, run: Run): SystemState {
  return withHolder(system, holder, { run });
}

function observe(system: SystemState, part: Partial<Observed>): SystemState {
  return { ...system, observed: { ...system.observed, ...part } };
}

/** Inserts in sorted order, so that independent steps lead to the same state in either order. */
function insert<T>(list: readonly T[], item: T): T[] {
  return list.includes(item) ? [...list] : [...list, item].sort();
}

function keyOf(run: Run): string {
  return `key-${run.request}`;
}

function ticketOf(holder: IncarnationId, run: Run): { issuer: string; number: number } {
  return { issuer: holder, number: run.request };
}

function billOf(holder: IncarnationId, run: Run, cost: number): Bill {
  const use = { cost, promptTokens: 0, completionTokens: cost };
  const names = { account: ACCOUNT, workClass: 'w', service: 's' };
  return { holder, ticket: run.request, ...names, ...use, keyDigest: keyOf(run), at: 0 };
}
