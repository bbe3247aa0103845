/** Options and results of the routing experiment. */

import type {
  ConcurrencyLimitKind,
  Importance,
  QueueDisciplineName,
  RefusalReason,
  ServerChooserName,
} from '@flamingocourse/core';

/** Decisions under test; each can be set back to the simpler way. */
export interface RoutingPolicy {
  name: string;
  chooser: ServerChooserName;
  discipline: QueueDisciplineName;
  limit: ConcurrencyLimitKind;
  /** Whether hopeless requests are refused when they come. */
  refuseUnreachable: boolean;
  /** Whether failing and slow servers are ejected. */
  ejection: boolean;
  /** Whether slowness alone ejects; only with `ejection`. */
  slowEjection: boolean;
  /** Whether each router keeps a fair part of a full server. */
  fairPart: boolean;
  /** Whether places are kept free for more important requests. */
  reserve: boolean;
}

/** Fault that begins and ends at fixed times of each run. */
export type ScenarioFault = 'none' | 'slow-server' | 'crashed-server' | 'cut-data-centre';

/** Load and fault of one run. */
export interface RoutingScenario {
  name: string;
  /** Offered load as a part of the measured capacity. */
  load: number;
  fault: ScenarioFault;
  /** Requests at once that operators declared for each server. @default 8, the batch size */
  declaredConcurrency?: number;
  /** Requests that a server takes into its batch, more than its memory holds. @default 8 */
  batchSlots?: number;
}

/** A class of work in the experiment. */
export interface ExperimentClass {
  name: string;
  importance: Importance;
  /** Part of all requests. */
  share: number;
  firstTokenMs: number;
  completeMs: number;
  minOutput: number;
  maxOutput: number;
}

/** Options of one run. */
export interface RoutingExperimentOptions {
  seed: number;
  policy: RoutingPolicy;
  scenario: RoutingScenario;
  /** Requests a second at load 1; measured by {@link measureCapacity}. */
  capacityPerSecond: number;
  /** Virtual seconds. @default 90 */
  seconds?: number;
}

/** Result for one class. */
export interface ClassResult {
  workClass: string;
  offered: number;
  /** Whole answers before the deadline. */
  answered: number;
  /** Part of all offered requests whose first token met the target and that were answered. */
  targetMet: number;
  p50: number;
  p95: number;
  p99: number;
  refusals: Partial<Record<RefusalReason, number>>;
}

/** Result of one run. */
export interface RoutingExperimentResult {
  seed: number;
  policy: string;
  scenario: string;
  classes: ClassResult[];
  /** Output tokens of whole answers, per virtual second. */
  usefulTokensPerSecond: number;
  /** All output tokens that servers computed, those of given-up answers included. */
  producedTokensPerSecond: number;
  /** Part of prompt prefixes found in a server's cache. */
  cacheHits: number;
}

/** Mean over the seeds of one policy in one scenario. */
export interface RoutingMeasureRow {
  policy: string;
  scenario: string;
  classes: ClassResult[];
  usefulTokensPerSecond: number;
  cacheHits: number;
}
