/** Dependencies that the parts of the pipeline share. */

import type { KnownSoftware, ListedServer, RoutedConfig, SendRules } from '@flamingocourse/core';
import type { BackgroundWork, BodyBuffers, Clock, EventLog } from '@flamingocourse/kernel';
import type { Collection, ObjectStore, StoreDialect } from '@flamingocourse/store';
import type { AnswerMemory } from '../node/answerMemory.js';
import type { GatewayMetrics } from '../node/gatewayMetrics.js';
import type { CallerDialect, ServerDialect } from './dialects.js';
import type { AdaptiveLoad } from '../runtime/adaptiveLoad.js';
import type { GatewaySettings } from './gatewaySettings.js';

/** Adapters for the platform that the router runs on. */
export interface GatewayDialects {
  store: StoreDialect;
  callers: CallerDialect;
  servers: ServerDialect;
  /** Collection that holds the configuration, as the object `configurationName`. */
  configuration: Collection<RoutedConfig>;
  configurationName: string;
  /** One object per evacuated data centre, named by it; what an object holds does not matter. */
  evacuations: Collection<unknown>;
  /** One object per backend server, named by the server's id. */
  serverList: Collection<ListedServer>;
  /** Whether the terms of a deployment call for the parts that adapt to scarce room. */
  needsAdaptiveLoad: (terms: readonly string[]) => boolean;
}

/** Objects shared by all services of the process; none of them has to be started. */
export interface GatewayContext {
  settings: GatewaySettings;
  clock: Clock;
  log: EventLog;
  metrics: GatewayMetrics;
  store: ObjectStore;
  dialects: GatewayDialects;
  /** What binds everything that this instance sends to backend servers. */
  rules: SendRules;
  /** Software versions of the backend servers: those heard of lately, and those recorded for later processes. */
  software: Required<KnownSoftware>;
  /** Whether the deployment calls for the parts that adapt to scarce room and uneven servers. */
  adaptiveLoad: AdaptiveLoad;
  /** Counts answers until their callers have read them. */
  answers: AnswerMemory;
  /** Counts what the clients of all listeners make the process hold. */
  clientBytes: BodyBuffers;
  /** Starts what nobody waits for; a failure of it is logged. */
  background: BackgroundWork;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
}
