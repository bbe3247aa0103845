/** What the parts of the pipeline are created with. */

import type { ListedServer, RoutedConfig, ServerNotices } from '@flamingocourse/core';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { Collection, ObjectStore, StoreDialect } from '@flamingocourse/store';
import type { GatewayMetrics } from '../node/gatewayMetrics.js';
import type { CallerDialect, ServerDialect } from './dialects.js';
import type { GatewaySettings } from './gatewaySettings.js';

/** Everything that depends on where the product runs. */
export interface GatewayDialects {
  store: StoreDialect;
  callers: CallerDialect;
  servers: ServerDialect;
  /** The configuration is the object `configurationName` of this collection. */
  configuration: Collection<RoutedConfig>;
  configurationName: string;
  /** One object for each server, named by its id. */
  serverList: Collection<ListedServer>;
}

/** Shared, passive parts of the process. */
export interface GatewayContext {
  settings: GatewaySettings;
  clock: Clock;
  log: EventLog;
  metrics: GatewayMetrics;
  store: ObjectStore;
  dialects: GatewayDialects;
  /** What servers have said of themselves to this instance. */
  notices: ServerNotices;
  /** Numbers from 0 (included) to 1 (excluded). */
  random: () => number;
}
