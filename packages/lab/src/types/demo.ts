/** Options and result of the demo. */

import type { DeploymentName } from '../runtime/deployments.js';
import type { EntryAudit } from '../runtime/entryAudit.js';
import type { SpendRow } from '../runtime/spend.js';
import type { FleetRunnerOptions } from './fleetRunner.js';
import type { LoadResult } from './load.js';
import type { ReportDocument } from './report.js';

/** Options of {@link runDemo}. */
export interface DemoOptions {
  deployment: DeploymentName;
  /** Seconds during which requests arrive. */
  seconds: number;
  ratePerSecond: number;
  seed: number;
  /** Keeps everything running after the load until the signal is aborted. */
  keep: boolean;
  /** Directory for the settings and logs of the routers. */
  directory: string;
  /** Applies the declarations. @default `flamingocourse apply` over the examples */
  apply?: (platformUrl: string) => Promise<void>;
  /** Command that runs a router. @default the flamingocourse-router binary of this workspace */
  routerCommand?: FleetRunnerOptions['command'];
  /** Ends the demo early. */
  signal: AbortSignal;
  onProgress: (line: string) => void;
}

/** Outcome of a demo. */
export interface DemoResult {
  deployment: DeploymentName;
  load: LoadResult;
  spend: SpendRow[];
  entries: EntryAudit;
  /** Descriptions of broken promises; empty if none was broken. */
  violations: string[];
  report: ReportDocument;
}
