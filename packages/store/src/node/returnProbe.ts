/** Finds out when a store that does not answer is back. */

/** Milliseconds between two probes, on average. */
const PROBE_MS = 250;
/** Part of that by which they are spread, so that instances don't come back to the store at once. */
const PROBE_JITTER = 0.5;

/** What a probe needs from its store. */
export interface ProbePorts {
  /** Sends one small read on a connection of its own; whether it was usefully answered is told by {@link ReturnProbe.heard}. */
  send: () => void;
  /** Numbers from 0 to 1. */
  random: () => number;
}

/**
 * Small reads while the store does not answer. Each user of the store waits for its return in its own
 * way: a call that hangs, a back-off, a circuit. In sum these take longer than changes may stay unknown
 * here, so the first answer to a probe wakes all of them.
 *
 * @example
 * const probe = new ReturnProbe({ send, random: Math.random });
 * probe.suspect(); // a call failed
 * if (probe.heard()) wakeAll(); // some call was answered, after the store was away
 */
export class ReturnProbe {
  readonly #ports: ProbePorts;
  #timer: NodeJS.Timeout | undefined;
  #sent = 0;

  constructor(ports: ProbePorts) {
    this.#ports = ports;
  }

  /** Whether a probe was left without an answer until the next one was due, and none was answered since. */
  get isAway(): boolean {
    return this.#sent > 1;
  }

  /** A call got no useful answer: begins to probe, unless that was begun. */
  suspect(): void {
    if (this.#sent === 0) this.#send();
  }

  /**
   * The store answered some call; ends probing. Returns whether it was away. If only an answer was lost
   * nobody is to be woken: a watch whose answers are all useless would ask without a pause.
   */
  heard(): boolean {
    const wasAway = this.isAway;
    this.stop();
    return wasAway;
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#sent = 0;
  }

  #send(): void {
    this.#sent += 1;
    const pauseMs = PROBE_MS * (1 - PROBE_JITTER / 2 + PROBE_JITTER * this.#ports.random());
    this.#timer = setTimeout(() => {
      this.#send();
    }, pauseMs).unref();
    this.#ports.send();
  }
}
