/** Journal lines of other holders that this router stores until they are in the journal. */

import type { IncarnationId, JournalLine, JournalState } from '@flamingocourse/core';
import type { JournalWriter } from './lineTransport.js';
import type { PeerFault } from '../../types/moneyPorts.js';
import {
  applyLines,
  createWitness,
  dropApplied,
  fence,
  storeLines,
  storedLines,
} from '@flamingocourse/core';
import { Result } from 'true-myth';

/** Witness state of this process. It is retained when the incarnation of the router changes. */
export class WitnessStore {
  #state = createWitness();
  #journal: JournalState | undefined;
  #closed = false;

  /** Whether no lines are stored. Lines are dropped once a newer journal contains them. */
  get isEmpty(): boolean {
    return storedLines(this.#state).length === 0;
  }

  /** Accepts a newer journal and drops the lines that it contains. */
  sync(journal: JournalState): void {
    this.#journal = journal;
    this.#state = dropApplied(this.#state, journal);
  }

  /** Stores lines for a peer. Refuses before the first journal was read and after `close`. */
  keep(lines: JournalLine[]): Result<'kept', PeerFault> {
    if (!this.#journal || this.#closed) return Result.err('refused');
    const kept = storeLines(this.#state, lines, this.#journal);
    if (kept.isErr) return Result.err('refused');
    this.#state = kept.value;
    return Result.ok('kept');
  }

  /** Stops accepting lines of any holder. Called before this router writes its `close` line. */
  close(): void {
    this.#closed = true;
  }

  /** Stops accepting lines of a holder and returns the lines stored for it. */
  fence(holder: IncarnationId): JournalLine[] {
    const fenced = fence(this.#state, holder);
    this.#state = fenced.state;
    return fenced.lines;
  }

  /**
   * Appends the stored lines to the journal, in case their holders crashed before they could do so.
   * The journal refuses lines of a holder that is being sealed; the sealer fetches those instead.
   */
  async replay(writer: JournalWriter): Promise<void> {
    const holders = new Map<IncarnationId, JournalLine[]>();
    for (const line of storedLines(this.#state)) {
      holders.set(line.holder, [...(holders.get(line.holder) ?? []), line]);
    }
    const writes = [...holders.values()].map((lines) =>
      writer.change((state) => applyLines(state, lines)),
    );
    await Promise.all(writes);
  }
}
