/** Divides overloaded services among client accounts, by what is known of the fleet. */

import type {
  FleetView,
  Refusal,
  RoomByImportance,
  RoomLevels,
  ServiceDemand,
  ServiceName,
} from '@flamingocourse/core';
import type { DemandSource, FleetConditions } from '../types/fleetConditions.js';
import type { RoomRequest } from '../types/roomSharing.js';
import {
  CROWDED_LATENESS,
  DecayedRate,
  ServiceCapacity,
  divideRoom,
  noDemand,
  totalRoom,
  entryOf,
  setEntry,
} from '@flamingocourse/core';
import { RoomSharing } from '../types/roomSharing.js';
import { AccountDemand } from './accountDemand.js';

/** Milliseconds between two computations of the levels. */
const REFRESH_MS = 250;
/** Milliseconds over which served requests are averaged. */
const SERVED_WINDOW_MS = 1_000;
/** Milliseconds over which waits are averaged; short, because a queue grows meanwhile. */
const WAIT_WINDOW_MS = 500;
/** Lateness of a request that got no place in time. */
const UNPLACED_LATENESS = 1.5;
/** Maximum lateness of one request, so that a few very late ones don't stand for all. */
const MAX_LATENESS = 3;
/** Limited accounts that a log line names. */
const MAX_SHOWN = 5;
/** Accounts of one service above which those without recent requests are dropped. */
const MAX_ACCOUNTS = 1_024;

/** State of one service at this instance. */
class SharedService {
  readonly accounts = new Map<string, AccountDemand>();
  readonly served = new DecayedRate(SERVED_WINDOW_MS);
  /** Room of requests that were served, or got no place. */
  readonly ended = new DecayedRate(WAIT_WINDOW_MS);
  /** The same, each multiplied by its lateness. */
  readonly late = new DecayedRate(WAIT_WINDOW_MS);
  readonly capacity = new ServiceCapacity();
  levels: RoomLevels | undefined;

  get isLimited(): boolean {
    return this.levels !== undefined && this.levels.level !== Infinity;
  }

  lateness(now: number): number {
    const ended = this.ended.at(now);
    return ended > 0 ? this.late.at(now) / ended : 0;
  }
}

/** What one service gives to accounts at present. */
export interface SharedServiceState {
  service: ServiceName;
  /** Room that an account gets at most, in slots; Infinity if no account is limited. */
  level: number;
  /** Room that is admitted, in slots; undefined without overload. */
  capacity: number | undefined;
  lateness: number;
  /** The heaviest accounts above the level, with the fleet's demand of each in slots. */
  limited: readonly string[];
}

/** Parts of a {@link AccountRoomSharing}. */
export interface AccountRoomSharingParts {
  conditions: Pick<FleetConditions, 'view'>;
  /** Whether accounts are limited at all. */
  isOn: () => boolean;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
  /** Called when a service begins or ceases to limit accounts. */
  onChange?: (state: SharedServiceState, isLimited: boolean) => void;
  /** Called for each refused request. */
  onRefused?: (request: RoomRequest) => void;
}

/**
 * Shares of accounts at one instance. It is also the source of the demand that this instance reports.
 *
 * @example
 * const sharing = new AccountRoomSharing({ conditions, isOn: () => adaptiveLoad.isOn, random });
 * const refusal = sharing.admit(request, now);
 */
export class AccountRoomSharing extends RoomSharing implements DemandSource {
  readonly #parts: AccountRoomSharingParts;
  readonly #services = new Map<ServiceName, SharedService>();
  #refreshedAt = -Infinity;

  constructor(parts: AccountRoomSharingParts) {
    super();
    this.#parts = parts;
  }

  override admit(request: RoomRequest, now: number): Refusal | undefined {
    if (!this.#parts.isOn()) return undefined;
    this.#refresh(now);
    const service = this.#service(request.service);
    const { account = '', importance, workMs, leftMs } = request;
    const demand = this.#account(service, account, now);
    demand.record(importance, workMs, now);
    const fraction = service.levels?.fraction(account, importance) ?? 1;
    const retryAfterMs = demand.refuse(importance, fraction, leftMs, now);
    if (retryAfterMs === undefined) return undefined;
    this.#parts.onRefused?.(request);
    return {
      reason: 'overloaded',
      run: 'not-run',
      detail: 'The service is overloaded, and the account has used its fair share of it.',
      retryAfterMs,
    };
  }

  override recordServed(
    { service: name, workMs }: RoomRequest,
    waitedMs: number,
    targetMs: number,
    now: number,
  ): void {
    if (!this.#parts.isOn()) return;
    const service = this.#service(name);
    service.served.record(workMs, now);
    service.ended.record(workMs, now);
    const lateness = Math.min(MAX_LATENESS, Math.max(0, waitedMs / Math.max(1, targetMs)));
    service.late.record(workMs * lateness, now);
  }

  override recordUnplaced({ service: name, workMs }: RoomRequest, now: number): void {
    if (!this.#parts.isOn()) return;
    const service = this.#service(name);
    service.ended.record(workMs, now);
    service.late.record(workMs * UNPLACED_LATENESS, now);
  }

  demand(now: number): Record<ServiceName, ServiceDemand> {
    const entries = [...this.#services].map(([name, service]) => {
      return [name, demandOf(service, now)] as const;
    });
    return Object.fromEntries(entries);
  }

  /** What each service gives to accounts at present. */
  states(now: number): SharedServiceState[] {
    this.#refresh(now);
    const { demand } = this.#parts.conditions.view(now);
    return [...this.#services].map(([name, service]) => {
      return stateOf(name, service, entryOf(demand, name) ?? noDemand(), now);
    });
  }

  /** Computes the levels again if they are old. */
  #refresh(now: number): void {
    if (now - this.#refreshedAt < REFRESH_MS) return;
    this.#refreshedAt = now;
    const { demand } = this.#parts.conditions.view(now);
    for (const [name, service] of this.#services) this.#level(name, service, demand, now);
  }

  #level(name: ServiceName, service: SharedService, known: FleetView['demand'], now: number): void {
    const wasLimited = service.isLimited;
    const fleet = entryOf(known, name) ?? noDemand();
    service.capacity.observe(fleet, now);
    const { slots } = service.capacity;
    service.levels = slots === undefined ? undefined : divideRoom(fleet, slots);
    if (service.isLimited === wasLimited) return;
    this.#parts.onChange?.(stateOf(name, service, fleet, now), service.isLimited);
  }

  #service(name: ServiceName): SharedService {
    const known = this.#services.get(name);
    if (known) return known;
    const created = new SharedService();
    this.#services.set(name, created);
    return created;
  }

  #account({ accounts }: SharedService, name: string, now: number): AccountDemand {
    const known = accounts.get(name);
    if (known) return known;
    if (accounts.size >= MAX_ACCOUNTS) dropIdle(accounts, now);
    const created = new AccountDemand(this.#parts.random);
    accounts.set(name, created);
    return created;
  }
}

function demandOf(service: SharedService, now: number): ServiceDemand {
  const accounts: Record<string, RoomByImportance> = {};
  for (const [name, account] of service.accounts) {
    const room = account.asked(now);
    if (room) setEntry(accounts, name, room);
  }
  const lateness = service.lateness(now);
  return {
    ...noDemand(),
    accounts,
    served: service.served.at(now),
    lateness,
    crowded: lateness >= CROWDED_LATENESS || service.isLimited,
  };
}

function stateOf(
  name: ServiceName,
  service: SharedService,
  { accounts }: ServiceDemand,
  now: number,
): SharedServiceState {
  const level = service.levels?.level ?? Infinity;
  const limited = Object.entries(accounts)
    .map(([account, room]) => ({ account, slots: totalRoom(room) }))
    .filter(({ slots }) => slots > level)
    .toSorted((a, b) => b.slots - a.slots)
    .slice(0, MAX_SHOWN)
    .map(({ account, slots }) => `${account} ${slots.toFixed(1)}`);
  return {
    service: name,
    level,
    limited,
    capacity: service.capacity.slots,
    lateness: service.lateness(now),
  };
}

function dropIdle(accounts: Map<string, AccountDemand>, now: number): void {
  for (const [name, account] of accounts) if (!account.asked(now)) accounts.delete(name);
  const [first] = accounts.keys();
  if (accounts.size >= MAX_ACCOUNTS && first !== undefined) accounts.delete(first);
}
