/** Detects when a store answers again after an outage. */

/** Average interval between two probes, in milliseconds. */
const PROBE_INTERVAL_MS = 250;
/**
 * Fraction of the interval that is random, so that instances do not all probe at the same moment.
 */
const PROBE_JITTER = 0.5;

/** Dependencies of a {@link RecoveryProbe}. */
export interface ProbePorts {
  /**
   * Sends one small read on a new connection; {@link RecoveryProbe.recordAnswer} is called if it
   * succeeds.
   */
  send: () => void;
  /** Numbers from 0 to 1. */
  random: () => number;
}

/**
 * Sends small reads while the store does not answer. Hanging calls, back-offs and the circuit
 * breaker each delay the recovery; together they take longer than a change may stay unknown. So the
 * first answer to a probe ends all of these waits.
 *
 * @example
 * const probe = new RecoveryProbe({ send, random: Math.random });
 * probe.recordFailure(); // a call failed
 * if (probe.recordAnswer()) wakeAll(); // a call was answered after an outage
 */
export class RecoveryProbe {
  readonly #ports: ProbePorts;
  #timer: NodeJS.Timeout | undefined;
  #sent = 0;

  constructor(ports: ProbePorts) {
    this.#ports = ports;
  }

  /** Whether a probe got no answer before the next one was due, and no call was answered since. */
  get isUnreachable(): boolean {
    return this.#sent > 1;
  }

  /** Records that a call got no usable answer. Starts probing if it is not running. */
  recordFailure(): void {
    if (this.#sent === 0) this.#send();
  }

  /**
   * Records an answer of the store and stops probing. Returns whether there was an outage. If only
   * one answer was lost it returns false, so that no watch is woken: a watch whose answers are all
   * unusable would otherwise send calls without a pause.
   */
  recordAnswer(): boolean {
    const hadOutage = this.isUnreachable;
    this.stop();
    return hadOutage;
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#sent = 0;
  }

  #send(): void {
    this.#sent += 1;
    const pauseMs =
      PROBE_INTERVAL_MS * (1 - PROBE_JITTER / 2 + PROBE_JITTER * this.#ports.random());
    this.#timer = setTimeout(() => {
      this.#send();
    }, pauseMs).unref();
    this.#ports.send();
  }
}
