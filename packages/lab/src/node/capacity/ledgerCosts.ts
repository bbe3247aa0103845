/** Measures the size of ledger and claim pages and the processor time of updates of them. */

import type {
  ClientAccountDeclaration,
  JournalState,
  LedgerAccount,
  LedgerPage,
} from '@flamingocourse/core';
import type { CostLine, CostPoint } from './types.js';
import { claim, createClaimPage, createJournal, createSlicePolicy } from '@flamingocourse/core';
import { planPage } from '@flamingocourse/router';
import { fitCostLine } from './costLine.js';
import { cpuMsPerCall } from './cpuTime.js';

const PAGE_ACCOUNTS = [50, 100, 200, 400];
const PAGE_CENTRES = [1, 4, 22];
const CLAIMS = [100, 1_000, 5_000];
const NOW = 1_790_000_000_000;
const TOKENS = 1_000_000;
const CLASSES = ['listing-drafts', 'stock-questions', 'reservations'];
const OWN_DATA_CENTRE = 'region-0-a';

/** Measures pages with different numbers of accounts, data centres and claims. */
export function measurePages(): CostLine[] {
  return [...measureLedger(), ...measureClaims()];
}

function measureLedger(): CostLine[] {
  const bytes: CostPoint[] = [];
  const syncs: CostPoint[] = [];
  for (const accounts of PAGE_ACCOUNTS) {
    for (const centres of PAGE_CENTRES) {
      const at = { accounts, shares: accounts * centres, pairs: accounts * accounts };
      const page = createPage(accounts, centres);
      bytes.push({ at, cost: Buffer.byteLength(JSON.stringify(page)) });
      const journal = createSpentJournal(accounts);
      syncs.push({ at, cost: cpuMsPerCall(() => sync(page, journal, centres)) });
    }
  }
  return [
    fitCostLine({
      name: 'ledger.bytes',
      unit: 'B',
      drivers: ['accounts', 'shares'],
      points: bytes,
    }),
    // each changed account copies the table of all accounts: this part grows quadratically.
    fitCostLine({
      name: 'ledger.sync',
      unit: 'CPU ms',
      drivers: ['shares', 'pairs'],
      points: syncs,
    }),
  ];
}

function measureClaims(): CostLine[] {
  const bytes: CostPoint[] = [];
  const writes: CostPoint[] = [];
  for (const claims of CLAIMS) {
    let page = createClaimPage(0);
    const held = Array.from({ length: claims }, (_, i) => [digest(i), createClaim(i)]);
    page = { ...page, claims: Object.fromEntries(held) as typeof page.claims };
    bytes.push({ at: { claims }, cost: Buffer.byteLength(JSON.stringify(page)) });
    const write = (): unknown => {
      const { page: next } = claim(page, digest(claims), createClaim(claims));
      return JSON.parse(JSON.stringify(next));
    };
    writes.push({ at: { claims }, cost: cpuMsPerCall(write) });
  }
  const drivers = ['claims'];
  return [
    fitCostLine({ name: 'claims.bytes', unit: 'B', drivers, points: bytes }),
    fitCostLine({ name: 'claims.write', unit: 'CPU ms', drivers, points: writes }),
  ];
}

/** One sync of the page's owner in which each account has new spend; one read and one write. */
function sync(page: LedgerPage, state: JournalState, dataCentres: number): unknown {
  const read = JSON.parse(JSON.stringify(page)) as LedgerPage;
  const planned = planPage(read, declarationsOf(page), {
    state,
    shortfalls: new Map(),
    policy: createSlicePolicy('avoid-overspend'),
    demandPerSecond: () => 1,
    rideThroughSeconds: 600,
    dataCentres,
    now: NOW,
    refills: true,
    isRefillPaused: () => false,
    targets: new Map(),
  });
  return JSON.parse(JSON.stringify(planned));
}

function createPage(accounts: number, centres: number): LedgerPage {
  const entries = Array.from({ length: accounts }, (_, i) => [
    accountName(i),
    createEntry(centres),
  ]);
  return { page: 0, accounts: Object.fromEntries(entries) as LedgerPage['accounts'] };
}

function createEntry(centres: number): LedgerAccount {
  const shares = Array.from({ length: centres }, (_, i) => [
    `region-${i}-a`,
    {
      grantedIn: TOKENS,
      returnedOut: 0,
      spent: TOKENS / 2,
      spentByClass: spentByClass(TOKENS / 4),
    },
  ]);
  return {
    limit: TOKENS * centres * 2,
    pendingReduction: 0,
    shares: Object.fromEntries(shares) as LedgerAccount['shares'],
    changes: [{ id: 'opening', amount: TOKENS, by: 'declaration', at: NOW }],
  };
}

function createSpentJournal(accounts: number): JournalState {
  const spent = TOKENS / 2 + 1;
  const entries = Array.from({ length: accounts }, (_, i) => [
    accountName(i),
    { grantedIn: TOKENS, returnedOut: 0, spent, spentByClass: spentByClass(spent / 2) },
  ]);
  return {
    ...createJournal(OWN_DATA_CENTRE),
    accounts: Object.fromEntries(entries) as JournalState['accounts'],
  };
}

function declarationsOf(page: LedgerPage): ClientAccountDeclaration[] {
  return Object.keys(page.accounts).map((name) => ({
    kind: 'ClientAccount',
    name,
    apiKeyDigests: [],
    openingTokens: TOKENS,
  }));
}

function createClaim(index: number): Parameters<typeof claim>[2] {
  const ticket = { issuer: 'region-1-a/router-0001/0123456789ab', number: index };
  return { ticket, bodyDigest: digest(index), at: NOW };
}

function spentByClass(each: number): Record<string, number> {
  return Object.fromEntries(CLASSES.map((name) => [name, each]));
}

function digest(index: number): string {
  return index.toString(16).padStart(64, '0');
}

function accountName(index: number): string {
  return `account-${String(index).padStart(6, '0')}`;
}
