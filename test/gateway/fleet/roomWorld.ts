/** A service of a few servers, instances that share its room, and accounts that ask for it. */

import type { Importance } from '@flamingocourse/core';
import type { RoomRequest, RoomSharing } from '@flamingocourse/gateway';
import type { AccountRoomSharingParts } from '../../../packages/gateway/src/runtime/accountRoomSharing.js';
import { ConditionTable, sumsOfInstance } from '@flamingocourse/core';
import { AccountRoomSharing } from '../../../packages/gateway/src/runtime/accountRoomSharing.js';
import { createRandom } from '../../../packages/lab/src/runtime/random.js';

const STEP_MS = 5;
/** Milliseconds between reports of an instance, as while a service is overloaded. */
const REPORT_MS = 500;
const SERVICE = 'writer';
const TARGET_MS = 250;
const LIMIT_MS = 4_000;

/** An account and where its requests enter. */
export interface WorldAccount {
  name: string;
  perSecond: number;
  /** Instances by number. */
  at: readonly number[];
  importance?: Importance;
  /** Milliseconds from which on it sends, and until when. */
  from?: number;
  until?: number;
}

/** Shape of a world. */
export interface WorldShape {
  accounts: readonly WorldAccount[];
  instances: number;
  seed: number;
  /** Requests that are served at a time. */
  slots: number;
  workMs: number;
  durationMs: number;
  /** Milliseconds at the start that don't count. */
  warmUpMs?: number;
  /** Creates the sharing of an instance. */
  create?: (parts: AccountRoomSharingParts) => AccountRoomSharing;
  /** Whether an instance has no connection to the collector. */
  isCut?: (instance: number, now: number) => boolean;
  /** Whether a refused caller sends its request once more, at another instance. */
  retries?: boolean;
}

/** What an account got. */
export interface WorldResult {
  asked: number;
  served: number;
  inTime: number;
  refused: number;
}

interface Running {
  request: RoomRequest;
  arrivedAt: number;
  sentAt: number;
  sharing: RoomSharing;
  result: WorldResult;
  work: number;
}

class RoomWorld {
  readonly #shape: WorldShape;
  readonly #random;
  readonly #sharings: AccountRoomSharing[] = [];
  readonly #collector = new ConditionTable('collector', 'hall');
  readonly #tables: ConditionTable[] = [];
  readonly results = new Map<string, WorldResult>();
  readonly #waiting: Running[] = [];
  readonly #running: { endsAt: number; job: Running }[] = [];
  readonly #retries: { at: number; account: WorldAccount; instance: number; arrivedAt: number }[] =
    [];
  readonly #next = new Map<WorldAccount, number>();
  busyMs = 0;

  constructor(shape: WorldShape) {
    this.#shape = shape;
    this.#random = createRandom(shape.seed);
    for (let i = 0; i < shape.instances; i += 1) this.#addInstance(i);
    for (const account of shape.accounts) {
      this.results.set(account.name, { asked: 0, served: 0, inTime: 0, refused: 0 });
      this.#next.set(account, (account.from ?? 0) + this.#gap(account));
    }
  }

  run(): void {
    for (let now = 0; now < this.#shape.durationMs; now += STEP_MS) {
      this.#report(now);
      this.#arrive(now);
      this.#serve(now);
    }
  }

  #addInstance(i: number): void {
    const table = new ConditionTable(`edge-${String(i)}`, 'hall');
    const view = (now: number) => table.view(this.#own(i, now), false, now);
    const parts = { conditions: { view }, isOn: () => true, random: () => this.#random.fraction() };
    this.#sharings.push(this.#shape.create?.(parts) ?? new AccountRoomSharing(parts));
    this.#tables.push(table);
  }

  #own(i: number, now: number) {
    return {
      instance: `edge-${String(i)}`,
      dataCentre: 'hall',
      pressure: 'calm' as const,
      ready: true,
      demand: this.#sharings[i]?.demand(now) ?? {},
    };
  }

  #report(now: number): void {
    for (const [i, table] of this.#tables.entries()) {
      const phase = Math.floor((i * REPORT_MS) / this.#tables.length / STEP_MS) * STEP_MS;
      if (now % REPORT_MS !== phase || this.#shape.isCut?.(i, now)) continue;
      this.#collector.recordReport(sumsOfInstance(this.#own(i, now)), now);
      const collector = { ...this.#own(-1, now), instance: 'collector' };
      table.recordAnswer(this.#collector.fleetSums(collector, now), now);
    }
  }

  #arrive(now: number): void {
    for (const [account, at] of this.#next) {
      let due = at;
      while (due <= now && due < (account.until ?? Infinity)) {
        const instance = account.at[Math.floor(this.#random.fraction() * account.at.length)] ?? 0;
        this.#ask(account, instance, now, now, false);
        due += this.#gap(account);
      }
      this.#next.set(account, due);
    }
    for (const retry of this.#retries.filter(({ at }) => at <= now)) {
      this.#retries.splice(this.#retries.indexOf(retry), 1);
      this.#ask(retry.account, retry.instance, now, retry.arrivedAt, true);
    }
  }

  #ask(
    account: WorldAccount,
    instance: number,
    now: number,
    arrivedAt: number,
    isRetry: boolean,
  ): void {
    const sharing = this.#sharings[instance];
    const result = this.#resultOf(account, arrivedAt);
    if (!sharing) return;
    if (!isRetry) result.asked += 1;
    const { name, importance = 'standard' } = account;
    const request: RoomRequest = {
      service: SERVICE,
      account: name,
      importance,
      workMs: this.#shape.workMs,
      leftMs: LIMIT_MS - (now - arrivedAt),
    };
    const refusal = sharing.admit(request, now);
    if (refusal) {
      if (isRetry || this.#shape.retries === false) result.refused += 1;
      else {
        const other = (instance + 1) % this.#shape.instances;
        const at = now + (refusal.retryAfterMs ?? 0);
        this.#retries.push({ at, account, instance: other, arrivedAt });
      }
      return;
    }
    const work = this.#shape.workMs * (0.75 + 0.5 * this.#random.fraction());
    this.#waiting.push({ request, arrivedAt, sentAt: now, sharing, result, work });
  }

  #serve(now: number): void {
    for (const ended of this.#running.filter(({ endsAt }) => endsAt <= now)) {
      this.#running.splice(this.#running.indexOf(ended), 1);
      const { job } = ended;
      job.result.served += 1;
      if (now - job.sentAt <= TARGET_MS) job.result.inTime += 1;
      const waitedMs = Math.max(0, now - job.sentAt - job.work);
      job.sharing.recordServed(job.request, waitedMs, TARGET_MS, now);
    }
    while (this.#running.length < this.#shape.slots) {
      const job = this.#waiting.shift();
      if (!job) break;
      if (now - job.arrivedAt > LIMIT_MS) {
        job.sharing.recordUnplaced(job.request, now);
        continue;
      }
      this.#running.push({ endsAt: now + job.work, job });
    }
    if (now >= (this.#shape.warmUpMs ?? 0)) this.busyMs += this.#running.length * STEP_MS;
  }

  #resultOf(account: WorldAccount, arrivedAt: number): WorldResult {
    const result = this.results.get(account.name);
    const isCounted = arrivedAt >= (this.#shape.warmUpMs ?? 0);
    return result && isCounted ? result : { asked: 0, served: 0, inTime: 0, refused: 0 };
  }

  #gap({ perSecond }: WorldAccount): number {
    return (-Math.log(1 - this.#random.fraction()) * 1_000) / perSecond;
  }
}

/**
 * Runs a world and returns what each account got, and the part of the capacity that was used.
 *
 * @example
 * const { accounts, used } = runRoomWorld(shape);
 */
export function runRoomWorld(shape: WorldShape): {
  accounts: Map<string, WorldResult>;
  used: number;
} {
  const world = new RoomWorld(shape);
  world.run();
  const countedMs = shape.durationMs - (shape.warmUpMs ?? 0);
  return { accounts: world.results, used: world.busyMs / (countedMs * shape.slots) };
}
