/** Ways on which a holder's lines reach the journal and its witnesses. */

import type { AppendAnswer, MoneyPeers, PeerFault } from '../../types/moneyPorts.js';
import type { Fleet } from '../../types/fleet.js';
import type { GroupWriter, WriteFault } from './groupWriter.js';
import type { IncarnationId, JournalFault, JournalLine, JournalState } from '@flamingocourse/core';
import { applyLines } from '@flamingocourse/core';
import { Result } from 'true-myth';

export type JournalWriter = GroupWriter<JournalState, JournalFault>;

/** Why lines are not in the journal: refused for good, or not known to be in it. */
export type AppendFault = 'sealed' | 'unreachable';

/** Key under which the committer of a data centre's journal is chosen. */
const COMMITTER_KEY = 'journal';

/** Routes of this router. */
export class LineRoutes {
  readonly #fleet: Fleet;
  readonly #peers: MoneyPeers;
  readonly #writer: JournalWriter;

  constructor(fleet: Fleet, peers: MoneyPeers, writer: JournalWriter) {
    this.#fleet = fleet;
    this.#peers = peers;
    this.#writer = writer;
  }

  /** Puts lines into the journal by way of the committer, or by an own write. */
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

  /** Puts lines into the journal by an own write. */
  async write(
    lines: readonly JournalLine[],
  ): Promise<Result<AppendAnswer, WriteFault<JournalFault>>> {
    return this.#writer.change((state) => applyLines(state, lines));
  }

  /** Answers a peer that has chosen this router as the committer. */
  async commitFor(lines: JournalLine[]): Promise<Result<AppendAnswer, PeerFault>> {
    const written = await this.write(lines);
    if (written.isErr)
      return Result.err(written.error.type === 'refused' ? 'refused' : 'unreachable');
    const state = { ...written.value.state, bills: [], outcomes: [] };
    return Result.ok({ version: written.value.version, state });
  }

  /** Asks the witnesses in turn; one that keeps the lines is enough. */
  async keep(witnesses: IncarnationId[], lines: JournalLine[]): Promise<boolean> {
    for (const witness of witnesses) {
      const kept = await this.#peers.keepLines(witness, lines);
      if (kept.isOk) return true;
    }
    return false;
  }
}

/** A holder that was sealed, or pruned after it, can never write again. */
function isFinal(fault: WriteFault<JournalFault>): boolean {
  if (fault.type !== 'refused') return false;
  return fault.fault.code === 'not-open' || fault.fault.code === 'unknown-holder';
}
