/** Lines of other holders that this router keeps while the journal does not have them. */

import type { IncarnationId, JournalLine, JournalState } from '@flamingocourse/core';
import type { JournalWriter } from './lineRoutes.js';
import type { PeerFault } from '../../types/moneyPorts.js';
import {
  applyLines,
  createWitness,
  dropApplied,
  fence,
  keepLines,
  keptLines,
} from '@flamingocourse/core';
import { Result } from 'true-myth';

/** Witness of this process; outlives a change of the own incarnation. */
export class WitnessStore {
  #state = createWitness();
  #journal: JournalState | undefined;
  #closed = false;

  /** Whether nothing is kept that the journal lacks. */
  get empty(): boolean {
    return keptLines(this.#state).length === 0;
  }

  /** Takes in a newer journal and forgets what it has. */
  sync(journal: JournalState): void {
    this.#journal = journal;
    this.#state = dropApplied(this.#state, journal);
  }

  /** Keeps lines for a peer. */
  keep(lines: JournalLine[]): Result<'kept', PeerFault> {
    if (!this.#journal || this.#closed) return Result.err('refused');
    const kept = keepLines(this.#state, lines, this.#journal);
    if (kept.isErr) return Result.err('refused');
    this.#state = kept.value;
    return Result.ok('kept');
  }

  /** Keeps nothing more for anyone; comes before the `close` line of this router. */
  close(): void {
    this.#closed = true;
  }

  /** Keeps nothing more for a holder and gives what was kept. */
  fence(holder: IncarnationId): JournalLine[] {
    const fenced = fence(this.#state, holder);
    this.#state = fenced.state;
    return fenced.lines;
  }

  /**
   * Puts what is kept into the journal, for holders that did not live to do it themselves. Lines
   * of a holder that is being sealed are refused there; its sealer asks for them.
   */
  async replay(writer: JournalWriter): Promise<void> {
    const holders = new Map<IncarnationId, JournalLine[]>();
    for (const line of keptLines(this.#state)) {
      holders.set(line.holder, [...(holders.get(line.holder) ?? []), line]);
    }
    const writes = [...holders.values()].map((lines) =>
      writer.change((state) => applyLines(state, lines)),
    );
    await Promise.all(writes);
  }
}
