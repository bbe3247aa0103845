/** Steps of ledger, journal, witnesses, seals and configuration. */

import type { IncarnationId, JournalChange } from '@flamingocourse/core';
import type { Result } from 'true-myth';
import type { ProtocolRules } from './rules.js';
import type { Step, StepType, World } from './types.js';
import { dropApplied, pool, shareOf, ungranted } from '@flamingocourse/core';
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
} from './createWorld.js';

/** Gives the next state, or nothing when the step is not possible. */
export type StepFunction = (
  world: World,
  step: Step,
  rules: ProtocolRules,
  maxLines: number,
) => World | undefined;

/** Tokens of the one top-up. */
const TOP_UP = 2;

/** Times that the top-up is sent; the second follows a lost reply. */
const TOP_UPS_SENT = 2;

const MAX_REVISION = 3;

/** Steps by type. */
export const storeSteps: Partial<Record<StepType, StepFunction>> = {
  grant: (world, { dataCentre, amount }, rules) => {
    const entry = world.ledger.accounts[ACCOUNT];
    if (!entry || ungranted(entry) <= 0) return undefined;
    return { ...world, ledger: rules.grant(world.ledger, ACCOUNT, dataCentre, amount) };
  },
  // copies may be late: any level that the ledger ever had may arrive.
  copyGrant: (world, { dataCentre, amount }, rules) => {
    const granted = ledgerShare(world, dataCentre).grantedIn - amount;
    const journal = journalIn(world, dataCentre);
    if (granted < 0 || granted === journal.accounts[ACCOUNT]?.grantedIn) return undefined;
    return withJournal(world, rules.recordGrant(journal, ACCOUNT, granted));
  },
  startReturn: (world, { dataCentre, amount }, rules) => {
    const journal = journalIn(world, dataCentre);
    if (pool(journal, ACCOUNT) <= 0) return undefined;
    return withJournal(world, rules.startReturn(journal, ACCOUNT, amount));
  },
  copyReturn: (world, { dataCentre }, rules) => {
    const returned = journalIn(world, dataCentre).accounts[ACCOUNT]?.returnedOut ?? 0;
    const ledger = rules.mergeReturned(world.ledger, ACCOUNT, dataCentre, returned);
    return ledger === world.ledger ? undefined : { ...world, ledger };
  },
  topUp: (world, _step, rules) => {
    const { observed } = world;
    if (observed.topUps >= TOP_UPS_SENT) return undefined;
    const change = { id: 'receipt', amount: TOP_UP, by: 'operator', at: 0 };
    const ledger = rules.changeBudget(world.ledger, ACCOUNT, change).unwrapOr(world.ledger);
    const paid = observed.topUps === 0 ? observed.paid + TOP_UP : observed.paid;
    return { ...world, ledger, observed: { ...observed, paid, topUps: observed.topUps + 1 } };
  },
  take: (world, { holder, amount }, _rules, maxLines) =>
    writeLine(world, holder, { type: 'take', account: ACCOUNT, amount }, maxLines),
  give: (world, { holder, amount }, _rules, maxLines) => {
    if ((spenderOf(world, holder)?.free(ACCOUNT) ?? 0) < amount) return undefined;
    return writeLine(world, holder, { type: 'give', account: ACCOUNT, amount }, maxLines);
  },
  renameWitnesses: (world, { holder, peer }, _rules, maxLines) => {
    const { history } = holderIn(world, holder);
    if (history.some((line) => line.change.type === 'witnesses')) return undefined;
    return writeLine(world, holder, { type: 'witnesses', witnesses: [peer] }, maxLines);
  },
  send: (world, { holder }) => {
    const spender = spenderOf(world, holder);
    const { sent, ended } = holderIn(world, holder);
    const lines = spender?.unapplied ?? [];
    if (ended || lines.length === 0 || lines.at(-1)?.seq === sent.at(-1)?.seq) return undefined;
    return withHolder(world, holder, { sent: [...lines] });
  },
  deliver: (world, { holder }, rules) => deliver(world, holder, 0, rules),
  // messages may overtake each other, so the last line may come before those in front of it.
  deliverLast: (world, { holder }, rules) => deliver(world, holder, -1, rules),
  readJournal: (world, { holder }) => {
    const { view, witness } = holderIn(world, holder);
    const journal = journalOf(world, holder);
    if (view === journal) return undefined;
    const isOpen = journal.holders[holder]?.state === 'open';
    const kept = dropApplied(witness, journal);
    const read = { view: journal, witness: kept };
    return withHolder(world, holder, isOpen ? read : { ...read, ended: true, run: IDLE });
  },
  keep: (world, { holder, peer }, rules) => {
    const spender = spenderOf(world, holder);
    const witness = holderIn(world, peer);
    if (!spender || holderIn(world, holder).ended) return undefined;
    if (!rules.trustedWitnesses(spender).includes(peer)) return undefined;
    const last = spender.unapplied.at(-1)?.seq ?? 0;
    if (last <= holderIn(world, holder).keptSeq) return undefined;
    const kept = rules.keepLines(witness.witness, spender.unapplied, witness.view);
    if (kept.isErr) return undefined;
    const next = withHolder(world, peer, { witness: kept.value });
    return withHolder(next, holder, { keptSeq: last });
  },
  replay: (world, { holder, peer }, rules) => {
    const lines = holderIn(world, peer).witness.holders[holder]?.lines ?? [];
    if (lines.length === 0) return undefined;
    return written(world, rules.applyLines(journalOf(world, holder), lines));
  },
  startSeal: (world, { holder }, rules) => {
    const journal = journalOf(world, holder);
    if (journal.holders[holder]?.state !== 'open') return undefined;
    return written(world, rules.startSeal(journal, holder));
  },
  fence: (world, { holder, peer }, rules) => {
    const entry = journalOf(world, holder).holders[holder];
    const key = fenceKey(holder, peer);
    if (entry?.state !== 'sealing' || !entry.witnesses.includes(peer)) return undefined;
    if (world.fenced[key]) return undefined;
    const { state, lines } = rules.fence(holderIn(world, peer).witness, holder);
    const next = withHolder(world, peer, { witness: state });
    return { ...next, fenced: { ...world.fenced, [key]: lines } };
  },
  finishSeal: (world, { holder }, rules) => {
    const journal = journalOf(world, holder);
    if (journal.holders[holder]?.state !== 'sealing') return undefined;
    const asked = rules.witnessesToAsk(journal, holder);
    const answers = asked.map((peer) => world.fenced[fenceKey(holder, peer)]);
    if (answers.includes(undefined)) return undefined;
    const lines = answers.flatMap((answer) => answer ?? []);
    return written(world, rules.finishSeal(journal, holder, lines));
  },
  publish: (world) => {
    const { observed } = world;
    if (observed.published >= MAX_REVISION) return undefined;
    return { ...world, observed: { ...observed, published: observed.published + 1 } };
  },
  merge: (world, { holder, amount }, rules) => {
    const { observed } = world;
    if (amount > observed.published) return undefined;
    const before = holderIn(world, holder).config;
    const objects = [{ ...DECLARED, revision: amount }];
    const state = rules.mergeUpdate(before, { asOf: amount, objects, complete: false });
    const fell = revisionOf(state) < revisionOf(before);
    const next = withHolder(world, holder, { config: state });
    return { ...next, observed: { ...observed, revisionFell: observed.revisionFell || fell } };
  },
};

/** Key of a witness's answer to a sealer. */
export function fenceKey(holder: IncarnationId, witness: IncarnationId): string {
  return `${holder}<${witness}`;
}

/** Revision of the declared object that a holder has in force. */
export function revisionOf(config: World['holders'][string]['config']): number {
  return config.objects.get(`${DECLARED.kind}.${DECLARED.name}`)?.revision ?? 0;
}

/** Adds a line to a holder's own sequence. */
export function writeLine(
  world: World,
  holder: IncarnationId,
  change: JournalChange,
  maxLines: number,
): World | undefined {
  const { history, ended } = holderIn(world, holder);
  if (ended || history.length >= maxLines) return undefined;
  const line = { holder, seq: history.length + 1, change };
  return withHolder(world, holder, { history: [...history, line] });
}

function deliver(
  world: World,
  holder: IncarnationId,
  from: number,
  rules: ProtocolRules,
): World | undefined {
  const { sent } = holderIn(world, holder);
  if (sent.length === 0) return undefined;
  return written(world, rules.applyLines(journalOf(world, holder), sent.slice(from)));
}

function written(world: World, result: Result<World['journals'][string], unknown>): World {
  return result.isOk ? withJournal(world, result.value) : world;
}

function ledgerShare(world: World, dataCentre: string): { grantedIn: number } {
  const entry = world.ledger.accounts[ACCOUNT];
  return entry ? shareOf(entry, dataCentre) : { grantedIn: 0 };
}
