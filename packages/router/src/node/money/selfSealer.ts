/**
 * Finishes the sealing of this process's own former incarnations.
 *
 * Peers can wrongly detect a running router as failed and start to seal it, and its witness can
 * fail before the sealer reaches the witness. The sealing could then never finish, and bills that
 * only the router and the witness have would stay in doubt forever. The process itself has all
 * lines of the former incarnation and writes no more of them, so it needs no witness to finish the
 * sealing.
 */

import type { IncarnationId, JournalLine } from '@flamingocourse/core';
import type { JournalWriter } from './lineTransport.js';
import { finishSeal } from '@flamingocourse/core';

interface UnfinishedSeal {
  holder: IncarnationId;
  lines: JournalLine[];
}

/** Former incarnations of this process whose sealing may not be finished. */
export class SelfSealer {
  readonly #unfinished: UnfinishedSeal[] = [];

  /**
   * Adds an incarnation whose line log is closed, with all its lines that are not in the journal.
   */
  add(holder: IncarnationId, lines: readonly JournalLine[]): void {
    this.#unfinished.push({ holder, lines: [...lines] });
  }

  /**
   * Tries to finish each sealing. Tries again at the next tick unless the journal accepted or
   * refused the write.
   */
  async tick(writer: JournalWriter): Promise<void> {
    for (const seal of [...this.#unfinished]) {
      const written = await writer.change((state) => finishSeal(state, seal.holder, seal.lines));
      if (written.isErr && written.error.type !== 'refused') return;
      this.#unfinished.splice(this.#unfinished.indexOf(seal), 1);
    }
  }
}
