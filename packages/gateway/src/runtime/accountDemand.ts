/** What one account asks of one service at this instance, and which of its requests go on. */

import type { Importance, RoomByImportance } from '@flamingocourse/core';
import { DecayedRate, EvenAdmission, RetryOrder } from '@flamingocourse/core';

/** Milliseconds over which demand is averaged; short enough that a burst is seen while it grows. */
const DEMAND_WINDOW_MS = 700;
/** Demand in slots below which an account counts as idle. */
const IDLE_SLOTS = 0.001;

interface ImportanceDemand {
  /** Room, in slots. */
  room: DecayedRate;
  /** Requests in a millisecond. */
  requests: DecayedRate;
  admission: EvenAdmission;
  retries: RetryOrder;
}

/**
 * Demand and admission of one account.
 *
 * @example
 * account.record('first', 80, now);
 * account.refuse('first', 0.5, 2_000, now); // undefined: it goes on
 */
export class AccountDemand {
  readonly #parts: Record<Importance, ImportanceDemand>;

  constructor(random: () => number) {
    const part = (): ImportanceDemand => ({
      room: new DecayedRate(DEMAND_WINDOW_MS),
      requests: new DecayedRate(DEMAND_WINDOW_MS),
      admission: new EvenAdmission(random()),
      retries: new RetryOrder(),
    });
    this.#parts = { first: part(), standard: part(), background: part() };
  }

  /** Records a request that arrived. */
  record(importance: Importance, workMs: number, now: number): void {
    this.#parts[importance].room.record(workMs, now);
    this.#parts[importance].requests.record(1, now);
  }

  /** Returns after how many milliseconds a request should come again; undefined if it goes on. */
  refuse(
    importance: Importance,
    fraction: number,
    leftMs: number,
    now: number,
  ): number | undefined {
    const { admission, requests, retries } = this.#parts[importance];
    if (admission.admits(fraction)) return undefined;
    return retries.retryAfterMs(fraction * requests.at(now), leftMs, now);
  }

  /** Room that the account asks for, in slots; undefined if it has asked for nothing lately. */
  asked(now: number): RoomByImportance | undefined {
    const { first, standard, background } = this.#parts;
    const room = {
      first: first.room.at(now),
      standard: standard.room.at(now),
      background: background.room.at(now),
    };
    return room.first + room.standard + room.background < IDLE_SLOTS ? undefined : room;
  }
}
