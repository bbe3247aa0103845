/** Judges by the waiting of callers how much processor time an instance has left. */

import type { PressureLevel } from '@flamingocourse/core';
import { comparePressure, pressureLevels } from '@flamingocourse/core';
import { PressureSource } from '../types/fleetConditions.js';
import { ProcessorUse } from './processorUse.js';

/** Milliseconds of signs by which the pressure is judged. */
const WINDOW_MS = 1_000;
/** Minimum milliseconds between two groups of signs; all that arrived during a pause are one group. */
const GROUP_MS = 100;
/** Groups that have to show a sign. */
const MIN_GROUPS = 2;
/** Unread time from which a request waited, in milliseconds; measurements are up to 100 ms old. */
const WAITED_MS = 150;
/** Unread time from which a request is late, in milliseconds. */
const LATE_MS = 300;
/** Share of late requests from which an instance is overloaded. */
const OVERLOADED_SHARE = 0.5;
/** Share of requests that waited from which an instance is pressed. */
const PRESSED_SHARE = 0.25;
/** Fraction of these shares below which a level is left, or that suffices near the processor's limit. */
const LOWER = 0.5;
/** Milliseconds with fewer signs after which a level is left. */
const HOLD_MS = 500;

/** Signs that came at about the same time. */
interface Group {
  at: number;
  requests: number;
  waited: number;
  late: number;
  closed: number;
}

/** What the signs of the last second add up to. */
export interface PressureSigns {
  requests: number;
  waited: number;
  late: number;
  closed: number;
  /** Processor time per elapsed time; undefined while unknown. */
  processorShare: number | undefined;
}

/**
 * Pressure of an instance by the time for which requests and connections were unread. A level rises
 * at once, at the second group of signs, and falls one step at a time.
 *
 * @example
 * pressure.observeUnread(arrival.unreadMs, clock.now());
 * pressure.pressure(clock.now()); // 'calm'
 */
export class InstancePressure extends PressureSource {
  #groups: Group[] = [];
  readonly #processor = new ProcessorUse();
  #level: PressureLevel = 'calm';
  /** Since when the signs are those of a lower level. */
  #lowerSince: number | undefined;

  /** Records that a request was read, or a connection whose request did not come yet. */
  observeUnread(unreadMs: number, now: number): void {
    const group = this.#groupAt(now);
    group.requests += 1;
    if (unreadMs >= WAITED_MS) group.waited += 1;
    if (unreadMs >= LATE_MS) group.late += 1;
  }

  /** Records connections that were closed before a request was read. */
  observeClosed(count: number, now: number): void {
    const group = this.#groupAt(now);
    group.requests += count;
    group.closed += count;
  }

  /** Records the processor time since the start of the process, in milliseconds. */
  observeProcessor(usedMs: number, now: number): void {
    this.#processor.observe(usedMs, now);
  }

  override pressure(now: number): PressureLevel {
    this.#forget(now);
    const seen = this.#levelBySigns(now);
    if (seen === 'overloaded') this.#processor.recordLate(now);
    const step = comparePressure(seen, this.#level);
    if (step >= 0) {
      this.#level = seen;
      this.#lowerSince = undefined;
    } else {
      this.#lowerSince ??= now;
      if (now - this.#lowerSince >= HOLD_MS) this.#fall(now);
    }
    return this.#level;
  }

  /** What {@link pressure} was judged by, for the log. */
  signs(now: number): PressureSigns {
    this.#forget(now);
    return {
      requests: this.#sum('requests'),
      waited: this.#sum('waited'),
      late: this.#sum('late'),
      closed: this.#sum('closed'),
      processorShare: this.#processor.share,
    };
  }

  #fall(now: number): void {
    this.#level = pressureLevels[pressureLevels.indexOf(this.#level) - 1] ?? 'calm';
    this.#lowerSince = now;
  }

  #levelBySigns(now: number): PressureLevel {
    const requests = this.#sum('requests');
    const isNear = this.#processor.isNearLimit(now);
    const reaches = (count: number, share: number, level: PressureLevel): boolean => {
      const isLowered = isNear || comparePressure(this.#level, level) >= 0;
      return count > 0 && count >= requests * share * (isLowered ? LOWER : 1);
    };
    const late = this.#sum('late');
    const closed = this.#sum('closed');
    if (this.#lasts(({ late, closed }) => late + closed > 0)) {
      return closed > 0 || reaches(late, OVERLOADED_SHARE, 'overloaded') ? 'overloaded' : 'pressed';
    }
    const hasWaited = this.#lasts(({ waited, closed }) => waited + closed > 0);
    if (!hasWaited) return 'calm';
    return reaches(this.#sum('waited') + closed, PRESSED_SHARE, 'pressed') ? 'pressed' : 'calm';
  }

  #lasts(hasSign: (group: Group) => boolean): boolean {
    return this.#groups.filter(hasSign).length >= MIN_GROUPS;
  }

  #sum(sign: 'requests' | 'waited' | 'late' | 'closed'): number {
    return this.#groups.reduce((sum, group) => sum + group[sign], 0);
  }

  #groupAt(now: number): Group {
    const last = this.#groups.at(-1);
    if (last && now - last.at < GROUP_MS) return last;
    this.#forget(now);
    const group = { at: now, requests: 0, waited: 0, late: 0, closed: 0 };
    this.#groups.push(group);
    return group;
  }

  #forget(now: number): void {
    while ((this.#groups[0]?.at ?? now) < now - WINDOW_MS) this.#groups.shift();
  }
}
