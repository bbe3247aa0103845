/** What the instances of a fleet tell each other about demand and their own pressure. */

import type { Importance } from './declaration.js';
import type { AccountId, DataCentreId, EpochMs, ServiceName } from './ids.js';

/** How much processor time an instance has left for the requests that reach it. */
export type PressureLevel = 'calm' | 'pressed' | 'overloaded';

/**
 * Room that requests ask for or get, in slots: milliseconds of work of servers per millisecond. By
 * importance, because the more urgent requests of an account come first within its part.
 */
export type RoomByImportance = Record<Importance, number>;

/** What was asked of one service lately. */
export interface ServiceDemand {
  /** The heaviest accounts; requests without an account are under the empty name. */
  accounts: Record<AccountId, RoomByImportance>;
  /** All other accounts together, and their number. */
  rest: { accounts: number; room: RoomByImportance };
  /** Room that requests got, in slots. */
  served: number;
  /** How long the served requests waited, as a part of their targets; the mean by room. */
  lateness: number;
  /** Whether requests waited longer than their targets allow. */
  crowded: boolean;
}

/** What one instance, or one data centre, reports. */
export interface InstanceReport {
  instance: string;
  dataCentre: DataCentreId;
  pressure: PressureLevel;
  /** Whether it takes itself for ready. */
  ready: boolean;
  demand: Record<ServiceName, ServiceDemand>;
}

/** Pressure of one instance, as far as it is known. */
export interface InstanceCondition {
  instance: string;
  pressure: PressureLevel;
  ready: boolean;
  /** Milliseconds since the instance reported it. */
  ageMs: number;
}

/** Instances of one data centre by their pressure. */
export interface DataCentreCondition {
  dataCentre: DataCentreId;
  instances: Record<PressureLevel, number>;
  ready: number;
  ageMs: number;
}

/** What an instance knows of the fleet. Words that are too old are left out. */
export interface FleetView {
  at: EpochMs;
  /** Instances of the own data centre, this one included. */
  peers: InstanceCondition[];
  dataCentres: DataCentreCondition[];
  /** Sum over all instances that reported. */
  demand: Record<ServiceName, ServiceDemand>;
}

/** Which instances a sum covers. */
export type ConditionScope = 'members' | 'data-centre' | 'fleet';

/**
 * Sums over one instance, those that report to a collector, a data centre or the fleet. Collectors and
 * those that report to them exchange these.
 */
export interface ConditionSums {
  /** Instance that sends the sums. */
  from: string;
  dataCentre: DataCentreId;
  scope: ConditionScope;
  /** Milliseconds since they were made. */
  ageMs: number;
  dataCentres: DataCentreCondition[];
  /** Instances of the sender's data centre, the most pressed ones first; not all in a large one. */
  peers: InstanceCondition[];
  demand: Record<ServiceName, ServiceDemand>;
}
