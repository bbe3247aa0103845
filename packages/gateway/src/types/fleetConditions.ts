/** Interfaces of the exchange of demand and pressure between the instances of a fleet. */

import type { FleetInstance, FleetView, InstanceReport, PressureLevel } from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Source of the own instance's pressure. */
export abstract class PressureSource {
  /** The present pressure of this instance. */
  abstract pressure(now: number): PressureLevel;
}

/** What this instance knows of demand and pressure in the fleet. */
export abstract class FleetConditions {
  /** Returns the present view; it holds at least what this instance knows by itself. */
  abstract view(now: number): FleetView;
}

/** Sends reports to the collector of a data centre. */
export abstract class ConditionCalls {
  /**
   * Sends reports and returns what the collector knows of the fleet. Never rejects and returns
   * within a bounded time; the error says why there is no answer.
   */
  abstract report(
    collector: FleetInstance,
    reports: readonly InstanceReport[],
  ): Promise<Result<FleetView, string>>;
}
