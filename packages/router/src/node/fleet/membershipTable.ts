/** What the fleet service needs from the decisions about membership. */

import type { EpochMs, InstanceRecord, MemberInfo } from '@flamingocourse/core';
import type { HeartbeatMessage } from '@flamingocourse/mesh';
import type { Peer } from '../../types/fleet.js';

/** Members as known to one router. Decides only; the fleet service carries the messages. */
export abstract class MembershipTable {
  /** This router; its beat rises with each tick. */
  abstract get self(): MemberInfo;
  abstract updateSelf(change: Partial<MemberInfo>): void;
  /** Takes in a heartbeat or the answer to one. */
  abstract observe(message: HeartbeatMessage, now: EpochMs): void;
  /** Takes in the platform's lagging list of routers: addresses to try, nothing more. */
  abstract observeInstances(records: readonly InstanceRecord[]): void;
  /** Lets time pass by one beat. */
  abstract tick(now: EpochMs): void;
  abstract peers(now: EpochMs): Peer[];
  /** Mesh URLs that get this beat's heartbeat; bounded. */
  abstract targets(now: EpochMs): string[];
  /** This beat's heartbeat. */
  abstract compose(now: EpochMs): HeartbeatMessage;
  /** Member of the own data centre, self included, that a key maps to. */
  abstract localOwner(key: string, now: EpochMs): MemberInfo;
}
