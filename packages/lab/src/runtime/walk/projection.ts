/**
 * Projections of a state of the specification and of a state of the model onto the parts that both
 * have, as JSON text by name. Equal states have equal projections.
 */

import type { JournalState } from '@flamingocourse/core';
import type { SystemState } from './types.js';
import { hasInterval, shareOf, entryOf, setEntry, tableSchema } from '@flamingocourse/core';
import { z } from 'zod';
import { ACCOUNT, holderIn, journalOf } from './initialState.js';
import { revisionOf } from './storeSteps.js';

const HOLDERS = ['a1', 'a2', 'b1'];
const DATA_CENTRES = ['a', 'b'];
const REQUESTS = [1, 2];

const counts = tableSchema(z.string(), z.number());
const requestSets = tableSchema(z.string(), z.array(z.number()));
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
    states: tableSchema(z.string(), z.string()),
    seqs: counts,
    slices: counts,
    intents: requestSets,
    done: requestSets,
    bills: z.array(z.object({ holder: z.string(), req: z.number(), cost: z.number() })),
  }),
  lines: tableSchema(z.string(), z.array(lineSchema)),
  seenSeq: counts,
  stored: counts,
  runs: tableSchema(z.string(), runSchema),
  claims: tableSchema(z.string(), z.string()),
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
    claims: REQUESTS.map((request) => entryOf(model.claims, String(request))),
    bills: journal.bills.map((bill) => `${bill.holder}/${bill.req}:${bill.cost}`).sort(),
  };
  for (const name of DATA_CENTRES) {
    setEntry(parts, `ledger of ${name}`, [
      entryOf(model.ledgerGranted, name),
      entryOf(model.ledgerReturned, name),
    ]);
    setEntry(
      parts,
      `journal of ${name}`,
      [journal.granted, journal.returned, journal.spent].map((one) => entryOf(one, name)),
    );
  }
  for (const id of HOLDERS) {
    const run = entryOf(model.runs, id);
    setEntry(parts, `entry of ${id}`, [
      entryOf(journal.states, id),
      entryOf(journal.seqs, id),
      entryOf(journal.slices, id),
    ]);
    setEntry(parts, `tickets of ${id}`, [entryOf(journal.intents, id), entryOf(journal.done, id)]);
    setEntry(parts, `knowledge of ${id}`, [
      entryOf(model.seenSeq, id),
      entryOf(model.stored, id),
      entryOf(model.revisions, id),
    ]);
    setEntry(
      parts,
      `lines of ${id}`,
      entryOf(model.lines, id)?.map(({ kind }) => kind),
    );
    setEntry(parts, `request of ${id}`, [run?.phase, run?.req, run?.amount, run?.lineAt]);
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
    claims: REQUESTS.map(
      (request) => entryOf(claims.claims, `key-${request}`)?.ticket.issuer ?? '',
    ),
    bills: Object.values(system.journals).flatMap(billNames).sort(),
  };
  for (const name of DATA_CENTRES) {
    const entry = system.ledger.accounts[ACCOUNT];
    const share = entry && shareOf(entry, name);
    const totals = entryOf(system.journals, name)?.accounts[ACCOUNT];
    setEntry(parts, `ledger of ${name}`, [share?.grantedIn, share?.returnedOut]);
    setEntry(
      parts,
      `journal of ${name}`,
      [totals?.grantedIn, totals?.returnedOut, totals?.spent].map((one) => one ?? 0),
    );
  }
  for (const id of HOLDERS) Object.assign(parts, projectHolder(system, id));
  return toJsonTexts(parts);
}

function projectHolder(system: SystemState, id: string): Record<string, unknown> {
  const entry = entryOf(journalOf(system, id).holders, id);
  const { history, view, storedSeq, run, config } = holderIn(system, id);
  const done = REQUESTS.filter((request) => hasInterval(entry?.done ?? [], request));
  return {
    [`entry of ${id}`]: [entry?.state, entry?.seq, entry?.slices[ACCOUNT] ?? 0],
    [`tickets of ${id}`]: [entry?.openIntents, done],
    [`knowledge of ${id}`]: [entryOf(view.holders, id)?.seq, storedSeq, revisionOf(config)],
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
