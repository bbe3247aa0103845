/** What one server process's reports and response times say about the time that a request takes there. */

import type { EpochMs } from '../../types/ids.js';
import type { LoadReport } from './loadEstimate.js';
import type { SpeedReport } from './serverSpeed.js';
import type { ExpectedTimeInputs } from './expectedTime.js';
import { expectedTime, queueFactor } from './expectedTime.js';
import { OtherLoad } from './otherLoad.js';
import { ServerSpeed } from './serverSpeed.js';
import type { SpeedPersistence } from './speedPersistence.js';
import { SpeedTrust } from './speedTrust.js';
import { RequestTime } from './requestTime.js';

/** Maximum factor by which a slowdown may differ from its mean: servers are 2.5 times slower at times. */
const MAX_DEVIATION = 3;

/**
 * Fraction of its expected time after which an attempt without a response makes its server seem
 * slower. A server that turns slow responds late, so its next report is late as well.
 */
const OVERDUE_FRACTION = 0.55;

/** An own attempt without a response. */
interface SentAttempt {
  at: EpochMs;
  /** Expected time when it was sent, as a multiple of the mean time of a request. */
  multiple: number;
  /** Part of that which is due to the queue. */
  queue: number;
  /** Reported slowdown, as a multiple of its mean. */
  reported: number;
}

/** What the servers of a service share. */
export interface ServiceTiming {
  persistence: SpeedPersistence;
  requestTime: RequestTime;
  trust: SpeedTrust;
}

/** State of a server that is known without reports. */
export interface TimingState {
  /** Own requests in flight there. */
  own: number;
  /** Requests that it runs at once, as declared. */
  slots: number;
}

/**
 * Timing of one server process.
 *
 * A speed counts relative to the mean of the server's reports, and the mean time of a request is
 * measured. So a server that always reports too much or too little is expected to take as long as it
 * does; a deviation from the mean counts as a factor of 3 at most, and as far as response times show it.
 *
 * @example
 * const timing = new ServerTiming({ persistence, requestTime, trust });
 * timing.report({ running: 2, waiting: 0, at: now, slowdown: 2.5 }, 1, now);
 * timing.expectedMs({ own: 1, slots: 6 }, now);
 */
export class ServerTiming {
  readonly #speed: ServerSpeed;
  readonly #others = new OtherLoad();
  readonly #requestTime: RequestTime;
  readonly #trust: SpeedTrust;
  readonly #sent = new Map<number, SentAttempt>();
  #slots: number | undefined;

  constructor({ persistence, requestTime, trust }: ServiceTiming) {
    this.#speed = new ServerSpeed(persistence);
    this.#requestTime = new RequestTime(requestTime);
    this.#trust = new SpeedTrust(trust);
  }

  /** The last speed report; undefined before the first. */
  lastSpeed(now: EpochMs): SpeedReport | undefined {
    return this.#speed.last(now);
  }

  /** Expected slowdown now; undefined before the first report. */
  slowdown(now: EpochMs): number | undefined {
    return this.#speed.last(now) && this.#speed.mean * this.#relativeSlowdown(now);
  }

  /** Applies a report, which shows `others` requests of other instances. */
  report({ slots, slowdown, at }: LoadReport, others: number, now: EpochMs): void {
    const time = Math.min(at, now);
    if (slots !== undefined) this.#slots = slots;
    if (slowdown !== undefined) this.#speed.report(slowdown, time);
    this.#others.report(others, time);
  }

  /** Expected milliseconds until a request that is sent now is answered; undefined while unknown. */
  expectedMs(state: TimingState, now: EpochMs): number | undefined {
    const meanMs = this.#requestTime.ms;
    if (meanMs === undefined) return undefined;
    return expectedTime(this.#inputs(state, meanMs, now)) * this.#overdueFactor(meanMs, now);
  }

  /** Records that an attempt is being sent. */
  start(attempt: number, state: TimingState, now: EpochMs): void {
    const queue = queueFactor(this.#inputs(state, this.#requestTime.ms ?? 0, now));
    const multiple = queue * this.#relativeSlowdown(now);
    this.#sent.set(attempt, { at: now, multiple, queue, reported: this.#reported(now) });
  }

  /** Records the end of an attempt; `ms` is undefined if there was no response. */
  end(attempt: number, ms: number | undefined): void {
    const sent = this.#sent.get(attempt);
    this.#sent.delete(attempt);
    if (!sent || ms === undefined) return;
    const requestMs = ms / sent.queue;
    const meanMs = this.#requestTime.ms ?? requestMs;
    this.#trust.record({ expected: sent.reported - 1, measured: requestMs / meanMs - 1 });
    this.#requestTime.record(requestMs);
  }

  /** Factor by which the server seems slower than it reports, from own attempts without a response. */
  #overdueFactor(meanMs: number, now: EpochMs): number {
    let most = 1;
    for (const { multiple, at } of this.#sent.values()) {
      most = Math.max(most, (now - at) / (OVERDUE_FRACTION * multiple * meanMs));
    }
    return Math.min(most, MAX_DEVIATION);
  }

  /** Reported slowdown as a multiple of its mean; 1 without reports. */
  #reported(now: EpochMs): number {
    const expected = this.#speed.expected(now) ?? this.#speed.mean;
    return Math.min(MAX_DEVIATION, Math.max(1 / MAX_DEVIATION, expected / this.#speed.mean));
  }

  /** The same, as far as response times show that it can be relied on. */
  #relativeSlowdown(now: EpochMs): number {
    return 1 + (this.#reported(now) - 1) * this.#trust.value;
  }

  #inputs({ own, slots }: TimingState, meanMs: number, now: EpochMs): ExpectedTimeInputs {
    const requestMs = meanMs * this.#relativeSlowdown(now);
    const others = this.#others.estimate(requestMs, now);
    return { own, others, slots: this.#slots ?? slots, requestMs };
  }
}
