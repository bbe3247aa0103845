/** Creates and connects the components of a router's budget service. */

import type {
  AccountId,
  BudgetView,
  JournalFault,
  JournalState,
  SlicePolicy,
  Tokens,
} from '@flamingocourse/core';
import type { Configuration } from '../../types/configuration.js';
import type { Fleet } from '../../types/fleet.js';
import type { MoneyPeers, ObjectStore } from '../../types/moneyPorts.js';
import type { RouterContext } from '../../types/routerContext.js';
import type { JournalWriter } from './lineTransport.js';
import type { VersionedState } from './groupWriter.js';
import { runInBackground } from '@flamingocourse/kernel';
import { checkInvariant, createJournal, createSlicePolicy, pool } from '@flamingocourse/core';
import { ClaimStore } from './claimStore.js';
import { GroupWriter } from './groupWriter.js';
import { LineTransport } from './lineTransport.js';
import { ProvisionalSettler } from './provisionalSettler.js';
import { Sealer } from './sealer.js';
import { TicketResolver } from './ticketResolver.js';
import { LedgerSync } from './ledgerSync.js';
import { WitnessStore } from './witnessStore.js';

/** Options of {@link createMoneyParts}. */
export interface MoneyPartsOptions {
  context: RouterContext;
  store: ObjectStore;
  peers: MoneyPeers;
  fleet: Fleet;
  configuration: Configuration;
  onState: (written: VersionedState<JournalState>) => void;
  onBudget: (account: AccountId, view: BudgetView) => void;
  onFailure: (err: unknown) => void;
}

/** Components of the budget service. */
export interface MoneyParts {
  fleet: Fleet;
  configuration: Configuration;
  writer: JournalWriter;
  transport: LineTransport;
  witness: WitnessStore;
  sealer: Sealer;
  ledgerSync: LedgerSync;
  claims: ClaimStore;
  resolver: TicketResolver;
  provisional: ProvisionalSettler;
  onFailure: (err: unknown) => void;
  /**
   * Fetches tokens into the pool, first from the ledger and then from peers. Runs once at a time
   * per account; further calls are ignored meanwhile.
   */
  fetchTokens: (account: AccountId, amount: Tokens) => void;
}

/** Creates the components and starts the journal writer. */
export function createMoneyParts(options: MoneyPartsOptions): MoneyParts {
  const { context, store, peers, fleet, configuration, onFailure } = options;
  const { budget, mesh } = context.settings;
  const writer = createJournalWriter(options);
  writer.start();
  const witness = new WitnessStore();
  const policy = (): SlicePolicy => createSlicePolicy(configuration.deployment.policy);
  const ledgerSync = new LedgerSync({
    ...options,
    journal: writer,
    clock: context.clock,
    policy,
    ledgerPages: budget.ledgerPages,
    ledgerSyncMs: budget.ledgerSyncMs,
  });
  const claims = new ClaimStore({
    store,
    clock: context.clock,
    pages: budget.claimPages,
    groupMs: budget.groupCommitMs,
    log: context.log,
    onFailure,
  });
  const resolver = new TicketResolver(fleet, store);
  return {
    fleet,
    configuration,
    writer,
    transport: new LineTransport(fleet, peers, writer),
    witness,
    sealer: new Sealer({ fleet, peers, writer, witness, log: context.log, goneMs: mesh.goneMs }),
    ledgerSync,
    claims,
    resolver,
    provisional: new ProvisionalSettler({ fleet, writer, claims, resolver, log: context.log }),
    onFailure,
    fetchTokens: createTokenFetcher(options, ledgerSync, writer),
  };
}

function createJournalWriter(options: MoneyPartsOptions): JournalWriter {
  const { context, store, fleet } = options;
  const { dataCentre } = fleet.self;
  return new GroupWriter<JournalState, JournalFault>({
    store,
    collection: 'journals',
    name: dataCentre,
    initial: () => createJournal(dataCentre),
    groupMs: context.settings.budget.groupCommitMs,
    findInvariantViolation: (state) => describeOverspend(checkInvariant(state)),
    onState: options.onState,
    onFailure: options.onFailure,
  });
}

function createTokenFetcher(
  options: MoneyPartsOptions,
  ledgerSync: LedgerSync,
  writer: JournalWriter,
): (account: AccountId, amount: Tokens) => void {
  const running = new Set<AccountId>();
  const fetch = async (account: AccountId, amount: Tokens): Promise<void> => {
    await ledgerSync.requestTokens(account, amount);
    // Another router may have moved the tokens, so the journal is read again.
    const read = await writer.refresh();
    // Peers use the tokens that they hold, so they are asked only when the pool still has too few.
    if (read.isErr || pool(read.value.state, account) >= amount) return;
    await recallFromPeers(options, account, amount);
    await writer.refresh();
  };
  return (account, amount) => {
    if (running.has(account)) return;
    running.add(account);
    runInBackground(() => {
      return fetch(account, amount).finally(() => running.delete(account));
    }, options.onFailure);
  };
}

/** Asks the other routers of this data centre to return unused tokens to the pool. */
async function recallFromPeers(
  { fleet, peers }: MoneyPartsOptions,
  account: AccountId,
  amount: Tokens,
): Promise<void> {
  const recalls = fleet
    .localPeers()
    .map(({ info }) => peers.recall(info.incarnation, account, amount, fleet.self.dataCentre));
  await Promise.all(recalls);
}

function describeOverspend(account: AccountId | undefined): string | undefined {
  return account === undefined ? undefined : `account "${account}" would be overspent`;
}
