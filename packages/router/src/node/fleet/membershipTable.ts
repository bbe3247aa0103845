/** Keeps the state of the membership reducer for the fleet service, which carries the messages. */

import type {
  EpochMs,
  Heartbeat,
  InstanceRecord,
  MemberInfo,
  MembershipSettings,
  MembershipState,
} from '@flamingocourse/core';
import type { Peer } from '../../types/fleet.js';
import {
  composeHeartbeat,
  createMembership,
  heartbeatTargets,
  judgeMembers,
  observeHeartbeat,
  observeInstanceList,
  recentlyExchanged,
  resolveLocalOwner,
  tickMembership,
  updateSelf,
} from '@flamingocourse/core';

/** Members as known to one router. */
export class MembershipTable {
  readonly #seeds: readonly string[];
  #state: MembershipState;

  /** @param seeds mesh URLs from the settings, tried also when the instance list lacks them. */
  constructor(self: MemberInfo, settings: MembershipSettings, seeds: readonly string[]) {
    this.#seeds = seeds;
    this.#state = createMembership(self, settings, seeds);
  }

  /** This router; its beat rises with each tick. */
  get self(): MemberInfo {
    return this.#state.self;
  }

  updateSelf(change: Partial<MemberInfo>): void {
    this.#state = updateSelf(this.#state, change);
  }

  /** Takes in a heartbeat or the answer to one. */
  observe(message: Heartbeat, now: EpochMs): void {
    this.#state = observeHeartbeat(this.#state, message, now);
  }

  /** Takes in the platform's lagging list of routers: addresses to try, nothing more. */
  observeInstances(records: readonly InstanceRecord[]): void {
    this.#state = observeInstanceList(this.#state, records, this.#seeds);
  }

  /** Lets time pass by one beat. */
  tick(now: EpochMs): void {
    this.#state = tickMembership(this.#state, now);
  }

  peers(now: EpochMs): Peer[] {
    return judgeMembers(this.#state, now);
  }

  /** Mesh URLs that get this beat's heartbeat; bounded. */
  targets(now: EpochMs): string[] {
    return heartbeatTargets(this.#state, now);
  }

  /** Mesh URLs that need no heartbeat at this beat. */
  recentlyExchanged(heartbeatMs: number, now: EpochMs): ReadonlySet<string> {
    return recentlyExchanged(this.#state, heartbeatMs, now);
  }

  /** This beat's heartbeat. */
  compose(now: EpochMs): Heartbeat {
    return composeHeartbeat(this.#state, now);
  }

  /** Member of the own data centre, self included, that a key maps to. */
  localOwner(key: string, now: EpochMs): MemberInfo {
    return resolveLocalOwner(this.#state, key, now);
  }
}
