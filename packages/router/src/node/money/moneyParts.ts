/** The parts that the budget service of a router is made of. */

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
import type { JournalWriter } from './lineRoutes.js';
import type { Written } from './groupWriter.js';
import { checkInvariant, createJournal, createSlicePolicy, pool } from '@flamingocourse/core';
import { ClaimKeeper } from './claimKeeper.js';
import { GroupWriter } from './groupWriter.js';
import { LineRoutes } from './lineRoutes.js';
import { ProvisionalSettler } from './provisionalSettler.js';
import { Sealer } from './sealer.js';
import { TicketResolver } from './ticketResolver.js';
import { Treasurer } from './treasurer.js';
import { WitnessStore } from './witnessStore.js';

/** What the parts are created with. */
export interface MoneyPartsOptions {
  context: RouterContext;
  store: ObjectStore;
  peers: MoneyPeers;
  fleet: Fleet;
  configuration: Configuration;
  onState: (written: Written<JournalState>) => void;
  onBudget: (account: AccountId, view: BudgetView) => void;
  onFailure: (err: unknown) => void;
}

/** The parts, wired. */
export interface MoneyParts {
  fleet: Fleet;
  configuration: Configuration;
  writer: JournalWriter;
  routes: LineRoutes;
  witness: WitnessStore;
  sealer: Sealer;
  treasurer: Treasurer;
  claims: ClaimKeeper;
  resolver: TicketResolver;
  provisional: ProvisionalSettler;
  onFailure: (err: unknown) => void;
  /** Looks for tokens that a request lacks, at most once at a time per account. */
  seek: (account: AccountId, amount: Tokens) => void;
}

/** Creates and starts the parts. */
export function createMoneyParts(options: MoneyPartsOptions): MoneyParts {
  const { context, store, peers, fleet, configuration, onFailure } = options;
  const { budget, mesh } = context.settings;
  const writer = createJournalWriter(options);
  writer.start();
  const witness = new WitnessStore();
  const policy = (): SlicePolicy => createSlicePolicy(configuration.deployment.policy);
  const treasurer = new Treasurer({
    ...options,
    journal: writer,
    clock: context.clock,
    policy,
    ledgerPages: budget.ledgerPages,
    ledgerSyncMs: budget.ledgerSyncMs,
  });
  const claims = new ClaimKeeper({
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
    routes: new LineRoutes(fleet, peers, writer),
    witness,
    sealer: new Sealer({ fleet, peers, writer, witness, log: context.log, goneMs: mesh.goneMs }),
    treasurer,
    claims,
    resolver,
    provisional: new ProvisionalSettler({ fleet, writer, claims, resolver, log: context.log }),
    onFailure,
    seek: createSeeker(options, treasurer, writer),
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
    findFault: (state) => overspent(checkInvariant(state)),
    onState: options.onState,
    onFailure: options.onFailure,
  });
}

function createSeeker(
  options: MoneyPartsOptions,
  treasurer: Treasurer,
  writer: JournalWriter,
): (account: AccountId, amount: Tokens) => void {
  const running = new Set<AccountId>();
  const seek = async (account: AccountId, amount: Tokens): Promise<void> => {
    await treasurer.request(account, amount);
    // what the others did shows in the journal only, which this router may not have written.
    const read = await writer.refresh();
    // peers need what they hold themselves, so they are asked only when the pool stayed short.
    if (read.isErr || pool(read.value.state, account) >= amount) return;
    await recallFromPeers(options, account, amount);
    await writer.refresh();
  };
  return (account, amount) => {
    if (running.has(account)) return;
    running.add(account);
    void seek(account, amount)
      .catch(options.onFailure)
      .finally(() => running.delete(account));
  };
}

/** Asks the other routers of this data centre for what lies idle with them. */
async function recallFromPeers(
  { fleet, peers }: MoneyPartsOptions,
  account: AccountId,
  amount: Tokens,
): Promise<void> {
  const asked = fleet
    .localPeers()
    .map(({ info }) => peers.recall(info.incarnation, account, amount, fleet.self.dataCentre));
  await Promise.all(asked);
}

function overspent(account: AccountId | undefined): string | undefined {
  return account === undefined ? undefined : `account "${account}" would be overspent`;
}
