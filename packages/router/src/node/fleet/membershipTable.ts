/** Holds the state of core's membership reducer for the fleet service, which sends the messages. */

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

/** Members that one router knows. */
export class MembershipTable {
  readonly #seeds: readonly string[];
  #state: MembershipState;

  /** @param seeds mesh URLs from the settings, also tried if the instance list omits them. */
  constructor(self: MemberInfo, settings: MembershipSettings, seeds: readonly string[]) {
    this.#seeds = seeds;
    this.#state = createMembership(self, settings, seeds);
  }

  /** This router; its beat increases with each tick. */
  get self(): MemberInfo {
    return this.#state.self;
  }

  updateSelf(change: Partial<MemberInfo>): void {
    this.#state = updateSelf(this.#state, change);
  }

  /** Applies a heartbeat or the answer to one. */
  observe(message: Heartbeat, now: EpochMs): void {
    this.#state = observeHeartbeat(this.#state, message, now);
  }

  /** Applies the platform's list of routers. The list lags, so it only gives addresses to try. */
  observeInstances(records: readonly InstanceRecord[]): void {
    this.#state = observeInstanceList(this.#state, records, this.#seeds);
  }

  /** Advances the state by one beat. */
  tick(now: EpochMs): void {
    this.#state = tickMembership(this.#state, now);
  }

  peers(now: EpochMs): Peer[] {
    return judgeMembers(this.#state, now);
  }

  /** Mesh URLs to send this beat's heartbeat to; their number is bounded. */
  targets(now: EpochMs): string[] {
    return heartbeatTargets(this.#state, now);
  }

  /** Mesh URLs that need no heartbeat at this beat because of a recent exchange. */
  recentlyExchanged(heartbeatMs: number, now: EpochMs): ReadonlySet<string> {
    return recentlyExchanged(this.#state, heartbeatMs, now);
  }

  /** Returns the heartbeat message of this beat. */
  compose(now: EpochMs): Heartbeat {
    return composeHeartbeat(this.#state, now);
  }

  /** Member of the own data centre, self included, to which a key maps. */
  localOwner(key: string, now: EpochMs): MemberInfo {
    return resolveLocalOwner(this.#state, key, now);
  }
}
