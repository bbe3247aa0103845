/** Heartbeat messages between routers. */

import type { IncarnationId, MemberInfo } from '@flamingocourse/core';

/** Indirect evidence that a member is alive; a higher beat is newer. */
export interface MemberBeat {
  incarnation: IncarnationId;
  beat: number;
  /** Milliseconds since the sender received the evidence. */
  ageMs: number;
}

/** Message that a router sends at each heartbeat; the answer has the same form. */
export interface HeartbeatMessage {
  info: MemberInfo;
  /** Some of the members that the sender considers alive. */
  digest: MemberBeat[];
  /** Members that the receiver may not know. */
  members: MemberInfo[];
}
