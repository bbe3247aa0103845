/** Connects the budget services and the quarantine to their peers over the mesh. */

import type {
  AccountId,
  DataCentreId,
  IncarnationId,
  JournalLine,
  QuarantineEvent,
  QuarantineState,
  Tokens,
} from '@flamingocourse/core';
import type {
  MeshClient,
  MeshError,
  MeshServer,
  ProcedureInput,
  RoutedProcedure,
  ProcedureOutput,
} from '@flamingocourse/mesh';
import type { QuarantineExchange, QuarantineUpdate } from '../types/backendPorts.js';
import type { AppendAnswer, MoneyPeerHandler, MoneyPeers, PeerFault } from '../types/moneyPorts.js';
import type { Fleet } from '../types/fleet.js';
import type { MeshHints } from './meshHints.js';
import { Result } from 'true-myth';
import { tableSchema } from '@flamingocourse/core';
import { z } from 'zod';

const QUARANTINE_TOPIC = 'quarantine';

/** Calls the budget services of peers, which it finds by their incarnation. */
export class MeshMoneyPeers implements MoneyPeers {
  readonly #client: MeshClient;
  readonly #fleet: () => Fleet;

  /** @param fleet called on each use, because the fleet service starts after this constructor. */
  constructor(client: MeshClient, fleet: () => Fleet) {
    this.#client = client;
    this.#fleet = fleet;
  }

  appendLines(peer: IncarnationId, lines: JournalLine[]): Promise<Result<AppendAnswer, PeerFault>> {
    return this.#call(peer, 'appendLines', { lines });
  }

  keepLines(witness: IncarnationId, lines: JournalLine[]): Promise<Result<'kept', PeerFault>> {
    return this.#call(witness, 'keepLines', { lines });
  }

  async fenceHolder(
    witness: IncarnationId,
    holder: IncarnationId,
  ): Promise<Result<JournalLine[], PeerFault>> {
    const fenced = await this.#call(witness, 'fenceHolder', { holder });
    return fenced.map(({ lines }) => lines);
  }

  async recall(
    peer: IncarnationId,
    account: AccountId,
    amount: Tokens,
    forDataCentre: DataCentreId,
  ): Promise<Result<Tokens, PeerFault>> {
    const given = await this.#call(peer, 'recall', { account, amount, forDataCentre });
    return given.map((answer) => answer.amount);
  }

  async #call<P extends RoutedProcedure>(
    incarnation: IncarnationId,
    procedure: P,
    input: ProcedureInput<P>,
  ): Promise<Result<ProcedureOutput<P>, PeerFault>> {
    const peer = this.#fleet().find(incarnation);
    if (!peer) return Result.err('unreachable');
    const { meshUrl } = peer.info;
    const answer = await this.#client.call({ meshUrl, incarnation }, procedure, input);
    return answer.mapErr(toPeerFault);
  }
}

/** Registers the mesh procedures through which peers call the budget services. */
export function serveMoney(mesh: MeshServer, money: MoneyPeerHandler): void {
  mesh.handle('appendLines', async ({ lines }) => {
    const appended = await money.handleAppendLines(lines);
    return appended.mapErr(describeFault);
  });
  mesh.handle('keepLines', ({ lines }) => money.handleKeepLines(lines).mapErr(describeFault));
  mesh.handle('fenceHolder', ({ holder }) =>
    money
      .handleFenceHolder(holder)
      .map((lines) => ({ lines }))
      .mapErr(describeFault),
  );
  mesh.handle('recall', async ({ account, amount, forDataCentre }) => {
    const given = await money.handleRecall(account, amount, forDataCentre);
    return given.map((tokens) => ({ amount: tokens })).mapErr(describeFault);
  });
}

/** Exchanges the quarantine state as hints. */
export class MeshQuarantineExchange implements QuarantineExchange {
  readonly #hints: MeshHints;

  constructor(hints: MeshHints) {
    this.#hints = hints;
  }

  publish(_event: QuarantineEvent, state: QuarantineState): void {
    this.#hints.publish(QUARANTINE_TOPIC, state);
  }

  onUpdate(listener: (update: QuarantineUpdate) => void): void {
    this.#hints.on(QUARANTINE_TOPIC, (value) => {
      const state = quarantineSchema.safeParse(value);
      // zod types an absent key as `undefined`; JSON has no such value, so the cast is safe.
      if (state.success) listener({ type: 'state', state: state.data as QuarantineState });
    });
  }
}

const quarantineSchema = z.object({
  entries: tableSchema(
    z.string(),
    z.object({
      crashes: z.array(z.object({ server: z.string(), at: z.number() })),
      clearedAt: z.number().optional(),
      quarantinedAt: z.number().optional(),
      releasedAt: z.number().optional(),
    }),
  ),
});

function toPeerFault(err: MeshError): PeerFault {
  return err.code === 'refused' ? 'refused' : 'unreachable';
}

function describeFault(fault: PeerFault): string {
  return `the budget service answered "${fault}"`;
}
