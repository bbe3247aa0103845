/** Interfaces of the exchange of demand and pressure between the instances of a fleet. */

import type {
  ConditionSums,
  FleetInstance,
  FleetView,
  PressureLevel,
  ServiceDemand,
  ServiceName,
} from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Source of the own instance's pressure. */
export abstract class PressureSource {
  /** The present pressure of this instance. */
  abstract pressure(now: number): PressureLevel;
  /** Whether this instance takes itself for ready. */
  isReady(): boolean {
    return true;
  }
}

/** Pressure of an instance that does not measure it. */
export class AlwaysCalm extends PressureSource {
  override pressure(): PressureLevel {
    return 'calm';
  }
}

/** Source of what was asked of this instance. */
export interface DemandSource {
  /** What was asked of each service lately. */
  demand(now: number): Record<ServiceName, ServiceDemand>;
}

/** What this instance knows of demand and pressure in the fleet. */
export abstract class FleetConditions {
  /** Returns the present view; it holds at least what this instance knows by itself. */
  abstract view(now: number): FleetView;
}

/** Sends sums to a collector. */
export abstract class ConditionCalls {
  /**
   * Sends sums and returns what the collector knows. Never rejects and returns within a bounded
   * time; the error says why there is no answer.
   */
  abstract share(
    collector: FleetInstance,
    sums: ConditionSums,
  ): Promise<Result<ConditionSums, string>>;
}
