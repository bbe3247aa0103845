/** Measures the size of a journal and the processor time of a group commit of the real reducer. */

import type { JournalHolder, JournalLine, JournalState } from '@flamingocourse/core';
import type { CostLine, CostPoint } from './types.js';
import { applyLines, createJournal } from '@flamingocourse/core';
import { LabError } from '../../utils/labError.js';
import { fitCostLine } from './costLine.js';
import { cpuMsPerCall } from './cpuTime.js';

/** Contents of a journal, and number of lines that one commit adds. */
interface JournalShape {
  holders: number;
  slicesPerHolder: number;
  accounts: number;
  bills: number;
  lines: number;
}

const BASE: JournalShape = {
  holders: 8,
  slicesPerHolder: 20,
  accounts: 200,
  bills: 100,
  lines: 20,
};

/** Each driver is varied separately from the base; the last shape varies all together. */
const SHAPES: JournalShape[] = [
  BASE,
  { ...BASE, holders: 32 },
  { ...BASE, holders: 128 },
  { ...BASE, slicesPerHolder: 80 },
  { ...BASE, slicesPerHolder: 200 },
  { ...BASE, accounts: 700 },
  { ...BASE, accounts: 2_200 },
  { ...BASE, bills: 300 },
  { ...BASE, bills: 600 },
  { ...BASE, lines: 100 },
  { ...BASE, lines: 200 },
  { holders: 64, slicesPerHolder: 60, accounts: 1_000, bills: 300, lines: 100 },
];

const DRIVERS = ['holders', 'slices', 'accounts', 'bills'];
const CLASSES = ['listing-drafts', 'stock-questions', 'reservations'];
const SLICE_TOKENS = 1_000_000;
const WITNESSES = 2;
/** A timestamp with a realistic number of digits. */
const NOW = 1_790_000_000_000;

/** Measures bytes and processor time of a journal. */
export function measureJournal(): CostLine[] {
  const bytes: CostPoint[] = [];
  const commits: CostPoint[] = [];
  for (const shape of SHAPES) {
    const at = { ...shape, slices: shape.holders * shape.slicesPerHolder };
    const state = createState(shape);
    bytes.push({ at, cost: Buffer.byteLength(JSON.stringify(state)) });
    commits.push({ at, cost: cpuMsPerCall(() => commit(state, shape)) });
  }
  return [
    fitCostLine({ name: 'journal.bytes', unit: 'B', drivers: DRIVERS, points: bytes }),
    fitCostLine({
      name: 'journal.commit',
      unit: 'CPU ms',
      drivers: ['slices', 'accounts', 'bills', 'lines'],
      points: commits,
    }),
  ];
}

/** Work of the committer: the new state, its serialization, and parsing the reply. */
function commit(state: JournalState, { lines, holders }: JournalShape): unknown {
  const added = Array.from({ length: lines }, (_, i) => billLine(i, holders));
  const applied = applyLines(state, added);
  if (applied.isErr) throw new LabError('not-ready', `journal: ${applied.error.message}`);
  return JSON.parse(JSON.stringify(applied.value));
}

function createState(shape: JournalShape): JournalState {
  const accounts = Array.from({ length: shape.accounts }, (_, i) => [
    accountName(i),
    {
      grantedIn: SLICE_TOKENS * shape.holders * 2,
      returnedOut: 0,
      spent: SLICE_TOKENS / 2,
      spentByClass: Object.fromEntries(CLASSES.map((name) => [name, SLICE_TOKENS / 4])),
    },
  ]);
  const holders = Array.from({ length: shape.holders }, (_, i) => [
    holderName(i),
    createHolder(i, shape),
  ]);
  return {
    ...createJournal('region-1-a'),
    accounts: Object.fromEntries(accounts) as JournalState['accounts'],
    holders: Object.fromEntries(holders) as JournalState['holders'],
    bills: Array.from({ length: shape.bills }, (_, i) =>
      createBill(i, holderName(i % shape.holders)),
    ),
  };
}

function createHolder(index: number, shape: JournalShape): JournalHolder {
  // the holders have slices of different accounts, like routers with different callers.
  const slices = Array.from({ length: shape.slicesPerHolder }, (_, i) => [
    accountName((index + i) % shape.accounts),
    SLICE_TOKENS,
  ]);
  return {
    state: 'open',
    seq: 0,
    witnesses: Array.from({ length: WITNESSES }, (_, i) => holderName(index + i + 1)),
    slices: Object.fromEntries(slices) as JournalHolder['slices'],
    openIntents: [],
    done: [[1, 100_000]],
    segments: { first: 1, last: 9 },
    since: NOW,
  };
}

function billLine(index: number, holders: number): JournalLine {
  const number = index % holders;
  const holder = holderName(number);
  const bill = { ...createBill(1_000_000 + index, holder), account: accountName(number) };
  return { holder, seq: Math.floor(index / holders) + 1, change: { type: 'bill', bill } };
}

function createBill(index: number, holder: string): JournalState['bills'][number] {
  return {
    holder,
    ticket: 200_000 + index,
    account: accountName(index % BASE.slicesPerHolder),
    workClass: CLASSES[index % CLASSES.length] ?? '',
    service: 'deel-llm',
    cost: 412,
    promptTokens: 60,
    completionTokens: 352,
    keyDigest: 'a'.repeat(64),
    at: NOW,
  };
}

/** Returns an account name of realistic length. */
function accountName(index: number): string {
  return `account-${String(index).padStart(6, '0')}`;
}

/** Returns a holder name in the form of an incarnation: data centre, instance, start. */
function holderName(index: number): string {
  return `region-1-a/router-${String(index).padStart(4, '0')}/0123456789ab`;
}
