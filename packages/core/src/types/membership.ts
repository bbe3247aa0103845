/** State of the membership protocol at one router. */

import type { DataCentreId, EpochMs, IncarnationId } from './ids.js';
import type { MemberInfo } from './member.js';

/** Timeouts of the failure detector. */
export interface MembershipSettings {
  /** Time without a heartbeat after which a peer is suspect, in milliseconds. */
  suspectMs: number;
  /** Time without a heartbeat after which a peer is considered gone, in milliseconds. */
  goneMs: number;
}

/** A peer as this router knows it. */
export interface KnownMember {
  info: MemberInfo;
  /** Time of the first evidence that the peer was alive, by this router's clock. */
  firstHeardAt: EpochMs;
  /** Time of the last such evidence, direct or through another peer, by the same clock. */
  lastHeardAt: EpochMs;
  /** When the peer itself last sent a heartbeat or answered one. */
  lastDirectAt?: EpochMs;
}

/** All that a router knows about the other routers. */
export interface MembershipState {
  self: MemberInfo;
  settings: MembershipSettings;
  members: Record<IncarnationId, KnownMember>;
  /** Addresses from the instance list and the settings; tried while no known member has them. */
  contactPoints: ContactPoint[];
  lastTickAt?: EpochMs;
}

/** Address at which a router may run, used to find members that are not known yet. */
export interface ContactPoint {
  meshUrl: string;
  dataCentre?: DataCentreId;
}
