/**
 * Projections of a state of the specification and of a state of the model onto the parts that both
 * have, as JSON text by name. Equal states have equal projections.
 */

import type { JournalState } from '@flamingocourse/core';
import type { SystemState } from './types.js';
import { hasInterval, shareOf } from '@flamingocourse/core';
import { z } from 'zod';
import { ACCOUNT, holderIn, journalOf } from './initialState.js';
import { revisionOf } from './storeSteps.js';

const HOLDERS = ['a1', 'a2', 'b1'];
const DATA_CENTRES = ['a', 'b'];
const REQUESTS = [1, 2];

const counts = z.record(z.string(), z.number());
const requestSets = z.record(z.string(), z.array(z.number()));
const tickets = z.array(z.tuple([z.string(), z.number()]));
const lineSchema = z.object({ kind: z.string(), req: z.number(), amount: z.number() });
const runSchema = z.object({
  phase: z.string(),
  req: z.number(),
  amount: z.number(),
  lineAt: z.number(),
});

const modelSchema = z.object({
  limit: z.number(),
  paid: z.number(),
  ledgerGranted: counts,
  ledgerReturned: counts,
  journal: z.object({
    granted: counts,
    returned: counts,
    spent: counts,
    states: z.record(z.string(), z.string()),
    seqs: counts,
    slices: counts,
    intents: requestSets,
    done: requestSets,
    bills: z.array(z.object({ holder: z.string(), req: z.number(), cost: z.number() })),
  }),
  lines: z.record(z.string(), z.array(lineSchema)),
  seenSeq: counts,
  stored: counts,
  runs: z.record(z.string(), runSchema),
  claims: z.record(z.string(), z.string()),
  answered: z.array(z.number()),
  notRun: tickets,
  dispatched: tickets,
  revisions: counts,
});

/** Projects a decoded state of the specification. Throws if its schema differs. */
export function projectModel(state: Record<string, unknown>): Record<string, string> {
  const model = modelSchema.parse(state);
  const { journal } = model;
  const parts: Record<string, unknown> = {
    budget: [model.limit, model.paid],
    answered: model.answered,
    notRun: model.notRun.map((ticket) => ticket.join('/')).sort(),
    dispatched: model.dispatched.map((ticket) => ticket.join('/')).sort(),
    claims: REQUESTS.map((request) => model.claims[request]),
    bills: journal.bills.map((bill) => `${bill.holder}/${bill.req}:${bill.cost}`).sort(),
  };
  for (const name of DATA_CENTRES) {
    parts[`ledger of ${name}`] = [model.ledgerGranted[name], model.ledgerReturned[name]];
    parts[`journal of ${name}`] = [journal.granted, journal.returned, journal.spent].map(
      (one) => one[name],
    );
  }
  for (const id of HOLDERS) {
    const run = model.runs[id];
    parts[`entry of ${id}`] = [journal.states[id], journal.seqs[id], journal.slices[id]];
    parts[`tickets of ${id}`] = [journal.intents[id], journal.done[id]];
    parts[`knowledge of ${id}`] = [model.seenSeq[id], model.stored[id], model.revisions[id]];
    parts[`lines of ${id}`] = model.lines[id]?.map(({ kind }) => kind);
    parts[`request of ${id}`] = [run?.phase, run?.req, run?.amount, run?.lineAt];
  }
  return toJsonTexts(parts);
}

/** Projects a state of the model. */
export function projectSystem(system: SystemState): Record<string, string> {
  const { observed, claims } = system;
  const parts: Record<string, unknown> = {
    budget: [system.ledger.accounts[ACCOUNT]?.limit, observed.paid],
    answered: observed.answered,
    notRun: observed.notRun,
    dispatched: observed.dispatched,
    claims: REQUESTS.map((request) => claims.claims[`key-${request}`]?.ticket.issuer ?? ''),
    bills: Object.values(system.journals).flatMap(billNames).sort(),
  };
  for (const name of DATA_CENTRES) {
    const entry = system.ledger.accounts[ACCOUNT];
    const share = entry && shareOf(entry, name);
    const totals = system.journals[name]?.accounts[ACCOUNT];
    parts[`ledger of ${name}`] = [share?.grantedIn, share?.returnedOut];
    parts[`journal of ${name}`] = [totals?.grantedIn, totals?.returnedOut, totals?.spent].map(
      (one) => one ?? 0,
    );
  }
  for (const id of HOLDERS) Object.assign(parts, projectHolder(system, id));
  return toJsonTexts(parts);
}

function projectHolder(system: SystemState, id: string): Record<string, unknown> {
  const entry = journalOf(system, id).holders[id];
  const { history, view, storedSeq, run, config } = holderIn(system, id);
  const done = REQUESTS.filter((request) => hasInterval(entry?.done ?? [], request));
  return {
    [`entry of ${id}`]: [entry?.state, entry?.seq, entry?.slices[ACCOUNT] ?? 0],
    [`tickets of ${id}`]: [entry?.openIntents, done],
    [`knowledge of ${id}`]: [view.holders[id]?.seq, storedSeq, revisionOf(config)],
    [`lines of ${id}`]: history.map(({ change }) =>
      change.type === 'not-run' ? 'notRun' : change.type,
    ),
    [`request of ${id}`]: [run.phase, run.request, run.amount, run.lineAt],
  };
}

function billNames({ bills }: JournalState): string[] {
  return bills.map(({ holder, ticket, cost }) => `${holder}/${ticket}:${cost}`);
}

function toJsonTexts(parts: Record<string, unknown>): Record<string, string> {
  return Object.fromEntries(
    Object.entries(parts).map(([name, value]) => [name, JSON.stringify(value)]),
  );
}
