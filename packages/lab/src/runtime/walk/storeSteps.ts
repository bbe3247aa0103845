/** Steps of the ledger, the journals, the witnesses, sealing and the configuration. */

import type { IncarnationId, JournalChange } from '@flamingocourse/core';
import type { Result } from 'true-myth';
import type { ProtocolRules } from './rules.js';
import type { Step, StepType, SystemState } from './types.js';
import { dropApplied, pool, shareOf, ungranted, entryOf } from '@flamingocourse/core';
import {
  ACCOUNT,
  DECLARED,
  IDLE,
  holderIn,
  journalIn,
  journalOf,
  spenderOf,
  withHolder,
  withJournal,
} from './initialState.js';

/** Returns the next state, or `undefined` when the step is not possible. */
export type StepFunction = (
  system: SystemState,
  step: Step,
  rules: ProtocolRules,
  maxLines: number,
) => SystemState | undefined;

/** Tokens of the only top-up. */
const TOP_UP = 2;

/** How often the top-up is sent; the second time is a retry after a lost reply. */
const TOP_UPS_SENT = 2;

const MAX_REVISION = 3;

/** Step functions by type. */
export const storeSteps: Partial<Record<StepType, StepFunction>> = {
  grant: (system, { dataCentre, amount }, rules) => {
    const entry = system.ledger.accounts[ACCOUNT];
    if (!entry || ungranted(entry) <= 0) return undefined;
    return { ...system, ledger: rules.grant(system.ledger, ACCOUNT, dataCentre, amount) };
  },
  // Copies may be delayed, so any value that the ledger ever had may arrive.
  copyGrant: (system, { dataCentre, amount }, rules) => {
    const granted = ledgerShare(system, dataCentre).grantedIn - amount;
    const journal = journalIn(system, dataCentre);
    if (granted < 0 || granted === journal.accounts[ACCOUNT]?.grantedIn) return undefined;
    return withJournal(system, rules.recordGrant(journal, ACCOUNT, granted));
  },
  startReturn: (system, { dataCentre, amount }, rules) => {
    const journal = journalIn(system, dataCentre);
    if (pool(journal, ACCOUNT) <= 0) return undefined;
    return withJournal(system, rules.startReturn(journal, ACCOUNT, amount));
  },
  copyReturn: (system, { dataCentre }, rules) => {
    const returned = journalIn(system, dataCentre).accounts[ACCOUNT]?.returnedOut ?? 0;
    const ledger = rules.mergeReturned(system.ledger, ACCOUNT, dataCentre, returned);
    return ledger === system.ledger ? undefined : { ...system, ledger };
  },
  topUp: (system, _step, rules) => {
    const { observed } = system;
    if (observed.topUps >= TOP_UPS_SENT) return undefined;
    const change = { id: 'receipt', amount: TOP_UP, by: 'operator', at: 0 };
    const ledger = rules.changeBudget(system.ledger, ACCOUNT, change).unwrapOr(system.ledger);
    const paid = observed.topUps === 0 ? observed.paid + TOP_UP : observed.paid;
    return { ...system, ledger, observed: { ...observed, paid, topUps: observed.topUps + 1 } };
  },
  take: (system, { holder, amount }, _rules, maxLines) =>
    writeLine(system, holder, { type: 'take', account: ACCOUNT, amount }, maxLines),
  give: (system, { holder, amount }, _rules, maxLines) => {
    if ((spenderOf(system, holder)?.free(ACCOUNT) ?? 0) < amount) return undefined;
    return writeLine(system, holder, { type: 'give', account: ACCOUNT, amount }, maxLines);
  },
  renameWitnesses: (system, { holder, peer }, _rules, maxLines) => {
    const { history } = holderIn(system, holder);
    if (history.some((line) => line.change.type === 'witnesses')) return undefined;
    return writeLine(system, holder, { type: 'witnesses', witnesses: [peer] }, maxLines);
  },
  send: (system, { holder }) => {
    const spender = spenderOf(system, holder);
    const { sent, ended } = holderIn(system, holder);
    const lines = spender?.unapplied ?? [];
    if (ended || lines.length === 0 || lines.at(-1)?.seq === sent.at(-1)?.seq) return undefined;
    return withHolder(system, holder, { sent: [...lines] });
  },
  deliver: (system, { holder }, rules) => deliver(system, holder, 0, rules),
  // Messages may be reordered, so the last line may arrive before earlier lines.
  deliverLast: (system, { holder }, rules) => deliver(system, holder, -1, rules),
  readJournal: (system, { holder }) => {
    const { view, witness } = holderIn(system, holder);
    const journal = journalOf(system, holder);
    if (view === journal) return undefined;
    const isOpen = entryOf(journal.holders, holder)?.state === 'open';
    const unapplied = dropApplied(witness, journal);
    const read = { view: journal, witness: unapplied };
    return withHolder(system, holder, isOpen ? read : { ...read, ended: true, run: IDLE });
  },
  storeAtWitness: (system, { holder, peer }, rules) => {
    const spender = spenderOf(system, holder);
    const witness = holderIn(system, peer);
    if (!spender || holderIn(system, holder).ended) return undefined;
    if (!rules.trustedWitnesses(spender).includes(peer)) return undefined;
    const last = spender.unapplied.at(-1)?.seq ?? 0;
    if (last <= holderIn(system, holder).storedSeq) return undefined;
    const stored = rules.storeLines(witness.witness, spender.unapplied, witness.view);
    if (stored.isErr) return undefined;
    const next = withHolder(system, peer, { witness: stored.value });
    return withHolder(next, holder, { storedSeq: last });
  },
  replay: (system, { holder, peer }, rules) => {
    const lines = entryOf(holderIn(system, peer).witness.holders, holder)?.lines ?? [];
    if (lines.length === 0) return undefined;
    return withResult(system, rules.applyLines(journalOf(system, holder), lines));
  },
  startSeal: (system, { holder }, rules) => {
    const journal = journalOf(system, holder);
    if (entryOf(journal.holders, holder)?.state !== 'open') return undefined;
    return withResult(system, rules.startSeal(journal, holder));
  },
  fence: (system, { holder, peer }, rules) => {
    const entry = entryOf(journalOf(system, holder).holders, holder);
    const key = fenceKey(holder, peer);
    if (entry?.state !== 'sealing' || !entry.witnesses.includes(peer)) return undefined;
    if (entryOf(system.fenced, key)) return undefined;
    const { state, lines } = rules.fence(holderIn(system, peer).witness, holder);
    const next = withHolder(system, peer, { witness: state });
    return { ...next, fenced: { ...system.fenced, [key]: lines } };
  },
  finishSeal: (system, { holder }, rules) => {
    const journal = journalOf(system, holder);
    if (entryOf(journal.holders, holder)?.state !== 'sealing') return undefined;
    const witnesses = rules.witnessesToAsk(journal, holder);
    const answers = witnesses.map((peer) => entryOf(system.fenced, fenceKey(holder, peer)));
    if (answers.includes(undefined)) return undefined;
    const lines = answers.flatMap((answer) => answer ?? []);
    return withResult(system, rules.finishSeal(journal, holder, lines));
  },
  publish: (system) => {
    const { observed } = system;
    if (observed.published >= MAX_REVISION) return undefined;
    return { ...system, observed: { ...observed, published: observed.published + 1 } };
  },
  merge: (system, { holder, amount }, rules) => {
    const { observed } = system;
    if (amount > observed.published) return undefined;
    const before = holderIn(system, holder).config;
    const objects = [{ ...DECLARED, revision: amount }];
    const state = rules.mergeUpdate(before, { asOf: amount, objects, complete: false });
    const fell = revisionOf(state) < revisionOf(before);
    const next = withHolder(system, holder, { config: state });
    return { ...next, observed: { ...observed, revisionFell: observed.revisionFell || fell } };
  },
};

/** Key of a witness's answer to a sealer. */
export function fenceKey(holder: IncarnationId, witness: IncarnationId): string {
  return `${holder}<${witness}`;
}

/** Revision of the declared object that is in force at a holder. */
export function revisionOf(config: SystemState['holders'][string]['config']): number {
  return config.objects.get(`${DECLARED.kind}.${DECLARED.name}`)?.revision ?? 0;
}

/** Appends a line to a holder's own lines; `undefined` if it has ended or reached `maxLines`. */
export function writeLine(
  system: SystemState,
  holder: IncarnationId,
  change: JournalChange,
  maxLines: number,
): SystemState | undefined {
  const { history, ended } = holderIn(system, holder);
  if (ended || history.length >= maxLines) return undefined;
  const line = { holder, seq: history.length + 1, change };
  return withHolder(system, holder, { history: [...history, line] });
}

function deliver(
  system: SystemState,
  holder: IncarnationId,
  from: number,
  rules: ProtocolRules,
): SystemState | undefined {
  const { sent } = holderIn(system, holder);
  if (sent.length === 0) return undefined;
  return withResult(system, rules.applyLines(journalOf(system, holder), sent.slice(from)));
}

function withResult(
  system: SystemState,
  result: Result<SystemState['journals'][string], unknown>,
): SystemState {
  return result.isOk ? withJournal(system, result.value) : system;
}

function ledgerShare(system: SystemState, dataCentre: string): { grantedIn: number } {
  const entry = system.ledger.accounts[ACCOUNT];
  return entry ? shareOf(entry, dataCentre) : { grantedIn: 0 };
}
