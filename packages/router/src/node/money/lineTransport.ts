/** Sends the journal lines of a holder to the journal and to its witnesses. */

import type { AppendAnswer, MoneyPeers, PeerFault } from '../../types/moneyPorts.js';
import type { Fleet } from '../../types/fleet.js';
import type { GroupWriter, WriteFault } from './groupWriter.js';
import type { IncarnationId, JournalFault, JournalLine, JournalState } from '@flamingocourse/core';
import { applyLines } from '@flamingocourse/core';
import { Result } from 'true-myth';

/** Writer of the journal of a data centre. */
export type JournalWriter = GroupWriter<JournalState, JournalFault>;

/**
 * Why an append failed. With `sealed` the journal will never accept lines of this holder again;
 * with `unreachable` the lines may or may not be stored.
 */
export type AppendFault = 'sealed' | 'unreachable';

/** Key by which the fleet chooses the committer of a data centre's journal. */
const COMMITTER_KEY = 'journal';

/**
 * Line transport of this router. One router of each data centre, the committer, appends the lines
 * of all routers there; a router whose committer does not answer appends its lines itself.
 */
export class LineTransport {
  readonly #fleet: Fleet;
  readonly #peers: MoneyPeers;
  readonly #writer: JournalWriter;

  constructor(fleet: Fleet, peers: MoneyPeers, writer: JournalWriter) {
    this.#fleet = fleet;
    this.#peers = peers;
    this.#writer = writer;
  }

  /** Appends lines through the committer. Writes them itself when the committer fails. */
  async append(lines: JournalLine[]): Promise<Result<AppendAnswer, AppendFault>> {
    const committer = this.#fleet.localOwner(COMMITTER_KEY).incarnation;
    if (committer !== this.#fleet.self.incarnation) {
      const answer = await this.#peers.appendLines(committer, lines);
      if (answer.isOk) return Result.ok(answer.value);
    }
    const written = await this.write(lines);
    if (written.isOk) return Result.ok(written.value);
    return Result.err(isFinal(written.error) ? 'sealed' : 'unreachable');
  }

  /** Appends lines to the journal directly. */
  async write(
    lines: readonly JournalLine[],
  ): Promise<Result<AppendAnswer, WriteFault<JournalFault>>> {
    return this.#writer.change((state) => applyLines(state, lines));
  }

  /** Appends lines on behalf of a peer that has chosen this router as the committer. */
  async commitFor(lines: JournalLine[]): Promise<Result<AppendAnswer, PeerFault>> {
    const written = await this.write(lines);
    if (written.isErr)
      return Result.err(written.error.type === 'refused' ? 'refused' : 'unreachable');
    const state = { ...written.value.state, bills: [], outcomes: [] };
    return Result.ok({ version: written.value.version, state });
  }

  /**
   * Asks the witnesses in turn to store lines. Stops at the first that does and returns whether one
   * did.
   */
  async storeAtWitness(witnesses: IncarnationId[], lines: JournalLine[]): Promise<boolean> {
    for (const witness of witnesses) {
      const kept = await this.#peers.keepLines(witness, lines);
      if (kept.isOk) return true;
    }
    return false;
  }
}

/** Whether the holder was sealed, or pruned after its sealing, and can never write again. */
function isFinal(fault: WriteFault<JournalFault>): boolean {
  if (fault.type !== 'refused') return false;
  return fault.fault.code === 'not-open' || fault.fault.code === 'unknown-holder';
}
