/** What every service of the router is created with. */

import type { Clock, EventLog, Metrics } from '@flamingocourse/kernel';
import type { RouterSettings } from './routerSettings.js';

/** Shared, passive parts of the process; no service of the kernel. */
export interface RouterContext {
  settings: RouterSettings;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
}
