/** Options and results of the routing experiment. */

import type {
  ConcurrencyLimitKind,
  Importance,
  QueueDisciplineName,
  RefusalReason,
  ServerChooserName,
} from '@flamingocourse/core';

/** Decisions under test; each has a simpler alternative. */
export interface RoutingPolicy {
  name: string;
  chooser: ServerChooserName;
  discipline: QueueDisciplineName;
  limit: ConcurrencyLimitKind;
  /** Whether requests that cannot meet their deadline are refused on arrival. */
  refuseUnreachable: boolean;
  /** Whether failing and slow servers are ejected. */
  ejection: boolean;
  /** Whether slowness alone ejects a server; only with `ejection`. */
  slowEjection: boolean;
  /** Whether each router may use its fair share of a server that is full. */
  fairPart: boolean;
  /** Whether capacity is reserved for more important requests. */
  reserve: boolean;
}

/** Fault that begins and ends at fixed times of each run. */
export type ScenarioFault = 'none' | 'slow-server' | 'crashed-server' | 'cut-data-centre';

/** Load and fault of one run. */
export interface RoutingScenario {
  name: string;
  /** Offered load as a fraction of the measured capacity. */
  load: number;
  fault: ScenarioFault;
  /** Declared number of concurrent requests per server. @default 8, the batch size */
  declaredConcurrency?: number;
  /** Batch size of a server; above 8 it exceeds the server's memory. @default 8 */
  batchSlots?: number;
}

/** A class of work in the experiment. */
export interface ExperimentClass {
  name: string;
  importance: Importance;
  /** Fraction of all requests. */
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
  /** Requests per second at load 1; measured by {@link measureCapacity}. */
  capacityPerSecond: number;
  /** Virtual seconds. @default 90 */
  seconds?: number;
}

/** Result for one class. */
export interface ClassResult {
  workClass: string;
  offered: number;
  /** Number of complete answers before the deadline. */
  answered: number;
  /** Fraction of the offered requests that were answered with the first token within the target. */
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
  /** Output tokens of complete answers per virtual second. */
  usefulTokensPerSecond: number;
  /** Output tokens per virtual second that servers computed, including those of abandoned answers. */
  producedTokensPerSecond: number;
  /** Fraction of prompt prefixes that were found in a server's cache. */
  cacheHits: number;
}

/** Mean over all seeds for one policy in one scenario. */
export interface RoutingMeasureRow {
  policy: string;
  scenario: string;
  classes: ClassResult[];
  usefulTokensPerSecond: number;
  cacheHits: number;
}
