/** Options and states of router processes that the lab starts, stops and injects faults into. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { Network } from '../node/network/index.js';

/** Instance name and data centre of one router. */
export interface RouterSlot {
  instance: string;
  dataCentre: string;
}

/** State of a router process. */
export type RouterProcessState = 'stopped' | 'running' | 'frozen';

/** Executable and arguments that run a router with a settings file. */
export interface RouterCommand {
  file: string;
  args: string[];
}

/** Options of {@link FleetRunner}. */
export interface FleetRunnerOptions {
  slots: RouterSlot[];
  /** Base URL of the platform for each data centre. */
  platformUrls: Record<string, string>;
  /** Directory for settings files and logs; it must exist. */
  directory: string;
  /** Called with the live routers after each start and exit, to update the instance list. */
  onInstances?: (records: InstanceRecord[]) => void;
  /** Relays between the data centres; `platformUrls` must then be relays of this network too. */
  network?: Network;
  /** Settings of one router that override the defaults, by section. */
  settings?: (slot: RouterSlot, index: number) => Record<string, unknown>;
  /** @default the flamingocourse-router binary of this workspace */
  command?: (settingsFile: string) => RouterCommand;
  /** Time limit for a successful `GET /readyz`, in milliseconds. @default 15000 */
  readyTimeoutMs?: number;
  /** Time limit for a process to exit after SIGTERM, in milliseconds. @default 20000 */
  stopTimeoutMs?: number;
}
