/** What one router knows of the fleet. */

import type { DataCentreId, EpochMs, IncarnationId } from './ids.js';
import type { MemberInfo } from './member.js';

/** Times after which silence counts. */
export interface MembershipSettings {
  /** Silence after which a peer is suspect, in milliseconds. */
  suspectMs: number;
  /** Silence after which a peer is taken as gone, in milliseconds. */
  goneMs: number;
}

/** A peer as known here. */
export interface KnownMember {
  info: MemberInfo;
  /** First and last evidence of life, by this router's clock. */
  firstHeardAt: EpochMs;
  heardAt: EpochMs;
  /** When it was last heard itself, by a heartbeat or the answer to one. */
  directAt?: EpochMs;
}

/** All that a router knows about the fleet. */
export interface MembershipState {
  self: MemberInfo;
  settings: MembershipSettings;
  members: Record<IncarnationId, KnownMember>;
  /** Mesh URLs from the instance list and the settings, to be tried while nobody answers there. */
  contacts: Contact[];
  lastTickAt?: EpochMs;
}

/** An address at which a router may be. */
export interface Contact {
  meshUrl: string;
  dataCentre?: DataCentreId;
}
