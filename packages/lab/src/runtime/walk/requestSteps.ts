/** Steps of a request: key, reservation, intent, dispatch, bill and final event. */

import type { Bill, IncarnationId } from '@flamingocourse/core';
import type { Observed, Run, StepType, World } from './types.js';
import type { StepFunction } from './storeSteps.js';
import {
  ACCOUNT,
  IDLE,
  holderIn,
  journalOf,
  reserveFor,
  spenderOf,
  withHolder,
} from './createWorld.js';
import { NON_IDEMPOTENT } from './rules.js';
import { writeLine } from './storeSteps.js';

/** Tokens set aside for a request. */
const WORST_CASE = 2;

/** Steps by type. */
export const requestSteps: Partial<Record<StepType, StepFunction>> = {
  start: (world, { holder, request }, rules) => {
    const { run, ended } = holderIn(world, holder);
    const ticket = ticketName(holder, request);
    if (ended || run.phase !== 'idle') return undefined;
    if (world.observed.started.includes(ticket)) return undefined;
    const phase = rules.claimsFirst(request) ? 'claiming' : 'claimed';
    const next = withRun(world, holder, { ...IDLE, phase, request });
    return observe(next, { started: insert(world.observed.started, ticket) });
  },
  claim: (world, { holder }, rules) => {
    const { run } = holderIn(world, holder);
    const isEarly = run.phase === 'claiming';
    const isLate = run.phase === 'running' && !rules.claimsFirst(run.request);
    if (!isEarly && !isLate) return undefined;
    const wanted = { ticket: ticketOf(holder, run), bodyDigest: 'b', at: 0 };
    const { page, answer } = rules.claim(world.claims, keyOf(run), wanted);
    const next = { ...world, claims: page };
    if (answer.type !== 'own') return withRun(next, holder, IDLE);
    return withRun(next, holder, { ...run, phase: isEarly ? 'claimed' : 'ownBill' });
  },
  takeOver: (world, { holder }, rules) => {
    const { run } = holderIn(world, holder);
    const isEarly = run.phase === 'claiming';
    const isLate = run.phase === 'running' && !rules.claimsFirst(run.request);
    const from = world.claims.claims[keyOf(run)]?.ticket;
    if ((!isEarly && !isLate) || !from || from.issuer === holder) return undefined;
    if (!rules.isProvablyNotRun(journalOf(world, from.issuer), from)) return undefined;
    const taken = rules.takeOver(world.claims, keyOf(run), from, ticketOf(holder, run), 0);
    if (taken.answer.type !== 'own') return undefined;
    const phase = isEarly ? 'claimed' : 'ownBill';
    const next = withRun({ ...world, claims: taken.page }, holder, { ...run, phase });
    if (run.request !== NON_IDEMPOTENT) return next;
    const told = insert(world.observed.notRun, ticketName(from.issuer, from.number));
    return observe(next, { notRun: told });
  },
  reserve: (world, { holder }) => {
    const { run, ended } = holderIn(world, holder);
    const spender = spenderOf(world, holder);
    if (ended || run.phase !== 'claimed' || !spender) return undefined;
    if (!reserveFor(spender, WORST_CASE)) return undefined;
    return withRun(world, holder, { ...run, phase: 'reserved', amount: WORST_CASE });
  },
  intent: (world, { holder }, _rules, maxLines) => {
    const { run } = holderIn(world, holder);
    if (run.phase !== 'reserved' || run.request !== NON_IDEMPOTENT) return undefined;
    const next = writeLine(world, holder, { type: 'intent', ticket: run.request }, maxLines);
    return next && withRun(next, holder, waitFor(next, holder, { ...run, phase: 'intended' }));
  },
  dispatch: (world, { holder }, rules) => {
    const { run } = holderIn(world, holder);
    if (!rules.mayDispatch(run, keptSeq(world, holder))) return undefined;
    const next = withRun(world, holder, { ...run, phase: 'running' });
    const ticket = ticketName(holder, run.request);
    return observe(next, { dispatched: insert(world.observed.dispatched, ticket) });
  },
  giveUp: (world, { holder }, _rules, maxLines) => {
    const { run } = holderIn(world, holder);
    if (run.phase !== 'intended') return undefined;
    const next = writeLine(world, holder, { type: 'not-run', ticket: run.request }, maxLines);
    if (!next) return undefined;
    const notRun = insert(world.observed.notRun, ticketName(holder, run.request));
    return observe(withRun(next, holder, IDLE), { notRun });
  },
  bill: (world, { holder, amount }, rules, maxLines) => {
    const { run } = holderIn(world, holder);
    const isOwner = rules.claimsFirst(run.request) || !rules.billNeedsClaim();
    if (run.phase !== 'ownBill' && !(run.phase === 'running' && isOwner)) return undefined;
    const cost = rules.billCost(amount, run.amount);
    const change = { type: 'bill', bill: billOf(holder, run, cost) } as const;
    const next = writeLine(world, holder, change, maxLines);
    const billed: Run = { ...run, phase: 'billed', amount: 0 };
    return next && withRun(next, holder, waitFor(next, holder, billed));
  },
  finalEvent: (world, { holder }, rules) => {
    const { run } = holderIn(world, holder);
    if (!rules.mayAnswer(run, keptSeq(world, holder))) return undefined;
    const next = withRun(world, holder, IDLE);
    return observe(next, { answered: insert(world.observed.answered, run.request) });
  },
};

/** Name of a ticket: its issuer and the request. */
export function ticketName(holder: IncarnationId, request: number): string {
  return `${holder}/${request}`;
}

function keptSeq(world: World, holder: IncarnationId): number {
  const { view, keptSeq: witnessed } = holderIn(world, holder);
  return Math.max(witnessed, view.holders[holder]?.seq ?? 0);
}

function waitFor(world: World, holder: IncarnationId, run: Run): Run {
  return { ...run, lineAt: holderIn(world, holder).history.length };
}

function withRun(world: World, holder: IncarnationId, run: Run): World {
  return withHolder(world, holder, { run });
}

function observe(world: World, part: Partial<Observed>): World {
  return { ...world, observed: { ...world.observed, ...part } };
}

/** Sorted, so that the order of steps that do not touch each other makes no other state. */
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
