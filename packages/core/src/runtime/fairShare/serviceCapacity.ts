/** Capacity of a service, estimated from what is served while requests wait. */

import type { ServiceDemand } from '../../types/fleetConditions.js';
import { totalRoom } from '../conditions/demandSums.js';

/** Waits, as a part of targets, from which a service counts as overloaded. */
export const CROWDED_LATENESS = 0.3;
/** Waits from which accounts begin to be limited; a short burst makes some requests wait, too. */
const BEGIN_LATENESS = 0.5;
/** Milliseconds for which they have to wait so long; a chance burst is over sooner. */
const BEGIN_AFTER_MS = 750;
/** Waits at which the capacity is neither lowered nor raised: servers are busy and few requests wait. */
const AIM_LATENESS = 0.095;
/** Part by which less is admitted at once, for each target time that requests wait above the aim. */
const DRAIN_GAIN = 0.3;
/** The most that is held back to drain a queue. */
const MAX_DRAIN = 0.6;
/** Fraction a second by which the estimate falls, for each target time above the aim. */
const FALL_GAIN = 0.12;
/** Fraction a second by which the estimate rises when nobody waits. */
const RISE_RATE = 0.02;
/** The same after a time without waits, so that an estimate that is far too low ends soon. */
const RELEASE_RATE = 0.12;
const RELEASE_AFTER_MS = 2_500;
/** Milliseconds without waits after which it rises twice as fast, and so on, up to a maximum. */
const RELEASE_STEP_MS = 500;
const MAX_RELEASE_RATE = 1;
/** Waits below which nobody waits. */
const CALM_LATENESS = 0.04;
/**
 * Milliseconds over which the estimate follows what is served while all servers are busy. Downwards it
 * is slow, because waits are known a second late: the queue may be drained by then and servers idle.
 */
const FOLLOW_UP_MS = 250;
const FOLLOW_DOWN_MS = 4_000;
/** Part of the demand above which an estimate limits nothing and is dropped. */
const UNLIMITED = 1.1;
/** Served room is a mean over a second; this factor is seldom reached by chance. */
const CHANCE = 1.15;
const MAX_LATENESS = 2;
const SECOND_MS = 1_000;

/**
 * Estimates capacity. While many requests wait, all servers are busy, so what is served is the
 * capacity. Otherwise less may be served than possible, so the estimate is raised until some wait.
 *
 * @example
 * const capacity = new ServiceCapacity();
 * capacity.observe(view.demand['writer'], now);
 * capacity.slots; // undefined without overload
 */
export class ServiceCapacity {
  #estimate: number | undefined;
  #lateness = 0;
  #at = 0;
  #waitedAt = -Infinity;
  /** Since when requests wait too long without a break; Infinity if they don't. */
  #lateSince = Infinity;

  /** Room to admit, in slots; undefined if nothing has to be limited. */
  get slots(): number | undefined {
    if (this.#estimate === undefined) return undefined;
    const drain = DRAIN_GAIN * Math.max(0, this.#lateness - AIM_LATENESS);
    return this.#estimate * (1 - Math.min(MAX_DRAIN, drain));
  }

  /** Records what is known of the fleet. */
  observe(demand: ServiceDemand, now: number): void {
    const seconds = Math.min(SECOND_MS, Math.max(0, now - this.#at)) / SECOND_MS;
    this.#at = now;
    this.#lateness = Math.min(MAX_LATENESS, demand.lateness);
    if (this.#lateness >= CALM_LATENESS) this.#waitedAt = now;
    if (this.#lateness < BEGIN_LATENESS) this.#lateSince = Infinity;
    else this.#lateSince = Math.min(this.#lateSince, now);
    if (this.#isCrowded(now)) {
      this.#estimate = this.#followed(demand.served, seconds);
    } else if (this.#estimate !== undefined) {
      this.#estimate *= 1 + seconds * this.#rate(now);
      // what is served is never more than the capacity, apart from chance.
      if (this.#lateness < AIM_LATENESS && demand.served > CHANCE * this.#estimate) {
        this.#estimate = this.#followed(demand.served, seconds);
      }
      if (this.#estimate > UNLIMITED * totalDemand(demand)) this.#estimate = undefined;
    }
  }

  /** Whether servers are taken for busy; a first time only if requests wait for a while. */
  #isCrowded(now: number): boolean {
    if (this.#estimate !== undefined) return this.#lateness >= CROWDED_LATENESS;
    return now - this.#lateSince >= BEGIN_AFTER_MS;
  }

  #followed(served: number, seconds: number): number {
    if (this.#estimate === undefined) return served;
    const windowMs = served > this.#estimate ? FOLLOW_UP_MS : FOLLOW_DOWN_MS;
    const weight = 1 - Math.exp((-seconds * SECOND_MS) / windowMs);
    return this.#estimate + weight * (served - this.#estimate);
  }

  /** Change of the estimate while few or no requests wait, as a fraction a second. */
  #rate(now: number): number {
    const above = this.#lateness - AIM_LATENESS;
    if (above >= 0) return -FALL_GAIN * above;
    const calmMs = now - this.#waitedAt - RELEASE_AFTER_MS;
    if (calmMs >= 0)
      return Math.min(MAX_RELEASE_RATE, RELEASE_RATE * (1 + calmMs / RELEASE_STEP_MS));
    return (RISE_RATE * -above) / AIM_LATENESS;
  }
}

function totalDemand({ accounts, rest }: ServiceDemand): number {
  const rooms = [rest.room, ...Object.values(accounts)].map(totalRoom);
  return rooms.reduce((sum, room) => sum + room, 0);
}
