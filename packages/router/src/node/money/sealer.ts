/** Seals failed holders of this data centre, so that their slices return to the pool. */

import type {
  EpochMs,
  IncarnationId,
  JournalHolder,
  JournalLine,
  JournalState,
} from '@flamingocourse/core';
import type { EventLog } from '@flamingocourse/kernel';
import type { Fleet } from '../../types/fleet.js';
import type { JournalWriter } from './lineTransport.js';
import type { MoneyPeers } from '../../types/moneyPorts.js';
import type { WitnessStore } from './witnessStore.js';
import { currentIncarnationOf, finishSeal, startSeal, entryOf } from '@flamingocourse/core';

/** Options of {@link Sealer}. */
export interface SealerOptions {
  fleet: Fleet;
  peers: MoneyPeers;
  writer: JournalWriter;
  witness: WitnessStore;
  log: EventLog;
  /** Time for which a holder must be unknown to the fleet before it is sealed, in milliseconds. */
  goneMs: number;
}

/** Key by which the fleet chooses the router that seals. Sealing by several routers is harmless. */
const SEALER_KEY = 'sealer';

/**
 * Seals other holders. The journal first marks the holder as `sealing` and refuses its lines. Then
 * each witness is fenced: it refuses further lines of the holder and returns those that it stores.
 * The last write appends these lines and marks the holder as `sealed`. Any router can repeat each
 * step at any time.
 */
export class Sealer {
  readonly #options: SealerOptions;
  readonly #missingSince = new Map<IncarnationId, EpochMs>();
  readonly #reportedInDoubt = new Set<IncarnationId>();

  constructor(options: SealerOptions) {
    this.#options = options;
  }

  /** Seals every failed holder whose witnesses all answer. */
  async tick(now: EpochMs): Promise<void> {
    const { fleet, writer } = this.#options;
    if (fleet.localOwner(SEALER_KEY).incarnation !== fleet.self.incarnation) return;
    const holders = Object.entries(writer.latest?.state.holders ?? {});
    for (const [id, holder] of holders) {
      if (holder.state === 'sealing' || (holder.state === 'open' && this.#isGone(id, now))) {
        await this.seal(id);
      }
    }
    this.#forgetSealed(new Set(holders.filter(([, one]) => isUnsealed(one)).map(([id]) => id)));
  }

  /** Seals one holder. Returns whether it is sealed now. */
  async seal(holder: IncarnationId): Promise<boolean> {
    const { writer } = this.#options;
    const started = await writer.change((state) => startSeal(state, holder));
    if (started.isErr) return false;
    // Witnesses are fenced only after `sealing` is stored; earlier answers could miss later lines.
    const lines = await this.#fenceAll(holder, started.value.state);
    if (!lines) return false;
    const finished = await writer.change((state) => finishSeal(state, holder, lines));
    if (finished.isErr) return false;
    this.#options.log.write('holder-sealed', { holder, lines: lines.length });
    return true;
  }

  /** Fences all witnesses and returns their lines, or `undefined` when one does not answer. */
  async #fenceAll(holder: IncarnationId, state: JournalState): Promise<JournalLine[] | undefined> {
    const lines: JournalLine[] = [];
    for (const named of entryOf(state.holders, holder)?.witnesses ?? []) {
      const witness = currentIncarnationOf(state, named);
      // A router closes only after the lines that it stores are in the journal, and then accepts
      // none.
      if (entryOf(state.holders, witness)?.state === 'closed') continue;
      const answer = await this.#fence(witness, holder);
      if (!answer) {
        this.#reportInDoubt(holder, witness);
        return undefined;
      }
      lines.push(...answer);
    }
    return lines;
  }

  async #fence(witness: IncarnationId, holder: IncarnationId): Promise<JournalLine[] | undefined> {
    const { fleet, peers } = this.#options;
    if (witness === fleet.self.incarnation) return this.#options.witness.fence(holder);
    const answer = await peers.fenceHolder(witness, holder);
    return answer.unwrapOr(undefined);
  }

  #isGone(id: IncarnationId, now: EpochMs): boolean {
    const { fleet, goneMs } = this.#options;
    const health = id === fleet.self.incarnation ? 'alive' : fleet.find(id)?.health;
    if (health === 'alive' || health === 'suspect') {
      this.#missingSince.delete(id);
      return false;
    }
    // A peer that the fleet does not know gets time as well: this router may have just started.
    const since = this.#missingSince.get(id) ?? now;
    this.#missingSince.set(id, since);
    return health === 'gone' || now - since >= goneMs;
  }

  #reportInDoubt(holder: IncarnationId, witness: IncarnationId): void {
    if (this.#reportedInDoubt.has(holder)) return;
    this.#reportedInDoubt.add(holder);
    this.#options.log.write('holder-in-doubt', { holder, witness });
  }

  #forgetSealed(live: Set<IncarnationId>): void {
    for (const id of this.#missingSince.keys()) if (!live.has(id)) this.#missingSince.delete(id);
    for (const id of this.#reportedInDoubt) if (!live.has(id)) this.#reportedInDoubt.delete(id);
  }
}

function isUnsealed(holder: JournalHolder): boolean {
  return holder.state === 'open' || holder.state === 'sealing';
}
