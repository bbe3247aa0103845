/**
 * Ends the former incarnations of this process that peers have begun to seal.
 *
 * A router that lives can be taken for dead, and its witness can die before the sealer asks it. The
 * bills that only the two of them have would then stay in doubt for good. The process itself knows
 * all its lines and writes no more of them, which is stronger evidence than all witnesses together.
 */

import type { IncarnationId, JournalLine } from '@flamingocourse/core';
import type { JournalWriter } from './lineRoutes.js';
import { finishSeal } from '@flamingocourse/core';

interface Ending {
  holder: IncarnationId;
  lines: JournalLine[];
}

/** Former incarnations that the journal still shows as `sealing`. */
export class OwnEndings {
  readonly #endings: Ending[] = [];

  /** Adds an incarnation whose log has ended, with every line that the journal lacks. */
  add(holder: IncarnationId, lines: readonly JournalLine[]): void {
    this.#endings.push({ holder, lines: [...lines] });
  }

  /** Ends what is still being sealed; repeated until the journal shows the end. */
  async tick(writer: JournalWriter): Promise<void> {
    for (const ending of [...this.#endings]) {
      const written = await writer.change((state) =>
        finishSeal(state, ending.holder, ending.lines),
      );
      if (written.isErr && written.error.type !== 'refused') return;
      this.#endings.splice(this.#endings.indexOf(ending), 1);
    }
  }
}
