/** Seals holders of this data centre that are gone, so that their slices become free again. */

import type {
  EpochMs,
  IncarnationId,
  JournalHolder,
  JournalLine,
  JournalState,
} from '@flamingocourse/core';
import type { EventLog } from '@flamingocourse/kernel';
import type { Fleet } from '../../types/fleet.js';
import type { JournalWriter } from './lineRoutes.js';
import type { MoneyPeers } from '../../types/moneyPorts.js';
import type { WitnessStore } from './witnessStore.js';
import { answeringIncarnation, finishSeal, startSeal } from '@flamingocourse/core';

/** What a sealer is created with. */
export interface SealerOptions {
  fleet: Fleet;
  peers: MoneyPeers;
  writer: JournalWriter;
  witness: WitnessStore;
  log: EventLog;
  /** Time for which a holder must be missing, in milliseconds. */
  goneMs: number;
}

/** Key under which the one router is chosen that seals; others may do it without harm. */
const SEALER_KEY = 'sealer';

/** Sealing of other holders. Each step can be repeated by any router at any time. */
export class Sealer {
  readonly #options: SealerOptions;
  readonly #missingSince = new Map<IncarnationId, EpochMs>();
  readonly #reported = new Set<IncarnationId>();

  constructor(options: SealerOptions) {
    this.#options = options;
  }

  /** Seals every holder that has been missing for long enough, as far as witnesses answer. */
  async tick(now: EpochMs): Promise<void> {
    const { fleet, writer } = this.#options;
    if (fleet.localOwner(SEALER_KEY).incarnation !== fleet.self.incarnation) return;
    const holders = Object.entries(writer.latest?.state.holders ?? {});
    for (const [id, holder] of holders) {
      if (holder.state === 'sealing' || (holder.state === 'open' && this.#isGone(id, now))) {
        await this.seal(id);
      }
    }
    this.#forgetEnded(new Set(holders.filter(([, one]) => isLive(one)).map(([id]) => id)));
  }

  /** Seals one holder; gives whether it is sealed now. */
  async seal(holder: IncarnationId): Promise<boolean> {
    const { writer } = this.#options;
    const started = await writer.change((state) => startSeal(state, holder));
    if (started.isErr) return false;
    // the answers count only because they are taken after `sealing` was stored.
    const lines = await this.#fenceAll(holder, started.value.state);
    if (!lines) return false;
    const finished = await writer.change((state) => finishSeal(state, holder, lines));
    if (finished.isErr) return false;
    this.#options.log.write('holder-sealed', { holder, lines: lines.length });
    return true;
  }

  /** Lines of all witnesses; `undefined` while one of them does not answer. */
  async #fenceAll(holder: IncarnationId, state: JournalState): Promise<JournalLine[] | undefined> {
    const lines: JournalLine[] = [];
    for (const named of state.holders[holder]?.witnesses ?? []) {
      const witness = answeringIncarnation(state, named);
      // a router closes only after its kept lines are in the journal, and keeps none afterwards.
      if (state.holders[witness]?.state === 'closed') continue;
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
    // also a peer that was never heard of gets time: this router may have started just now.
    const since = this.#missingSince.get(id) ?? now;
    this.#missingSince.set(id, since);
    return health === 'gone' || now - since >= goneMs;
  }

  #reportInDoubt(holder: IncarnationId, witness: IncarnationId): void {
    if (this.#reported.has(holder)) return;
    this.#reported.add(holder);
    this.#options.log.write('holder-in-doubt', { holder, witness });
  }

  #forgetEnded(live: Set<IncarnationId>): void {
    for (const id of this.#missingSince.keys()) if (!live.has(id)) this.#missingSince.delete(id);
    for (const id of this.#reported) if (!live.has(id)) this.#reported.delete(id);
  }
}

function isLive(holder: JournalHolder): boolean {
  return holder.state === 'open' || holder.state === 'sealing';
}
