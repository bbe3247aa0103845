/** Router processes that the lab starts, stops and disturbs. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { Network } from '../node/network/index.js';

/** Where one router runs. */
export interface RouterSlot {
  instance: string;
  dataCentre: string;
}

/** State of a router process. */
export type RouterProcessState = 'stopped' | 'running' | 'frozen';

/** How to run a router with a settings file. */
export interface RouterCommand {
  file: string;
  args: string[];
}

/** Options of {@link FleetRunner}. */
export interface FleetRunnerOptions {
  slots: RouterSlot[];
  /** Base URL of the platform as seen from each data centre. */
  platformUrls: Record<string, string>;
  /** Directory for settings files and logs; it must exist. */
  directory: string;
  /** Told the live routers after each start and end, for the platform's instance list. */
  onInstances?: (records: InstanceRecord[]) => void;
  /** Puts relays between data centres; `platformUrls` are then relays of it too. */
  network?: Network;
  /** Settings of one router that differ from the defaults, by section. */
  settings?: (slot: RouterSlot, index: number) => Record<string, unknown>;
  /** @default the flamingocourse-router binary of this workspace */
  command?: (settingsFile: string) => RouterCommand;
  /** Longest wait for `GET /readyz`, in milliseconds. @default 15000 */
  readyTimeoutMs?: number;
  /** Longest wait for a process to end after SIGTERM, in milliseconds. @default 20000 */
  stopTimeoutMs?: number;
}
