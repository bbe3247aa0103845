/** Context that every service of the router is created with. */

import type { BackgroundWork, Clock, EventLog, Metrics } from '@flamingocourse/kernel';
import type { RouterSettings } from './routerSettings.js';

/** Shared objects of the process that are not services of the kernel. */
export interface RouterContext {
  settings: RouterSettings;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Starts what nobody waits for; a failure of it is logged. */
  background: BackgroundWork;
}
