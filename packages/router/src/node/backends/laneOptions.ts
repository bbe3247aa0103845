/** Options of a lane. */

import type {
  AdmissionQueue,
  PlacementScope,
  ServerChooser,
  ServerPool,
} from '@flamingocourse/core';
import type { BackgroundWork, Clock } from '@flamingocourse/kernel';
import type { CrashCheck } from '../../types/crashCheck.js';
import type { WeighedPrompts } from './lanePrompts.js';
import type { AdmissionPorts } from './laneAdmission.js';
import type { QuarantineRegister } from './quarantineRegister.js';

/** Options of a `ServiceLane`. */
export interface ServiceLaneOptions {
  pool: ServerPool;
  queue: AdmissionQueue;
  chooser: ServerChooser;
  quarantine: QuarantineRegister;
  clock: Clock;
  random: () => number;
  /** Starts the checks of servers that break connections. */
  background: BackgroundWork;
  /** Checks servers that break connections; without it, a broken connection is only a failure. */
  crashCheck?: CrashCheck;
  /** @default 'near-first' */
  scope?: PlacementScope;
  /**
   * Whether a request that was in flight during a crash runs alone at a server until it is cleared.
   * Set it to false if servers run dozens of requests at once: an idle server is then almost never
   * available, and a stream that has to continue at another server would wait for one.
   * @default true
   */
  runsSuspectsAlone?: boolean;
  /** How cached prompts are weighed against waits; without it, they are not. */
  prompts?: WeighedPrompts;
  /** Admission to the servers' queues while adaptive load is on. @default it is never on */
  admission?: AdmissionPorts;
}
