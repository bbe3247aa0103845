/** What routers tell each other of their life. */

import type { IncarnationId, MemberInfo } from '@flamingocourse/core';

/** Second-hand evidence that a member lives; a higher beat is newer. */
export interface MemberBeat {
  incarnation: IncarnationId;
  beat: number;
  /** Milliseconds since the sender had evidence. */
  ageMs: number;
}

/** What one router tells another at each beat, and gets as the answer. */
export interface HeartbeatMessage {
  info: MemberInfo;
  /** Some members that the sender takes as alive. */
  digest: MemberBeat[];
  /** Members that the receiver may not know. */
  members: MemberInfo[];
}
