/** Decides by which path new connections to one server are opened, and when paths are probed. */

import type { RandomSource } from '@flamingocourse/core';

/** Path of new connections to a server. */
export type PathKind =
  'direct' | 'tunnel' /** No path is known to work; the direct one is tried. */ | 'none';

/** Result of a probe of both paths. */
export interface ProbeOutcome {
  /** Whether the server answered directly. */
  direct: boolean;
  /** Whether it answered through a peer; undefined if no peer was asked. */
  tunnel?: boolean | undefined;
}

/** Milliseconds until the next probe while the direct path does not work; doubles each time. */
const MIN_PROBE_INTERVAL_MS = 400;
/** Maximum of this time, in milliseconds; the end of a partition is detected within it. */
const MAX_PROBE_INTERVAL_MS = 1_600;
/** Fraction by which each interval is shortened at most, so that instances do not probe together. */
const JITTER = 0.25;
/** Probes through several peers that nobody answers; after them a server has probably ended. */
const FULL_PROBES = 2;
/** Maximum number of peers that are asked for one connection or in one probe. */
export const MAX_PEERS = 3;
const SEVERAL_PEERS = Array.from({ length: MAX_PEERS }, (_, place) => place);
/** The second in the order is of another data centre, if the own one may have lost its links. */
const PEERS_IN_TURN = [0, 1];

/** What a probe has to do. */
export interface ProbePlan {
  /** Whether the present path is in doubt. Without doubt, a tunnel needs no probe itself. */
  isDoubted: boolean;
  /** Places of the peers that are asked, in the order of preference. */
  peers: readonly number[];
}

/**
 * State of the paths to one server. Times are in milliseconds of a monotonic clock.
 *
 * @example
 * const path = new ServerPath(Math.random);
 * path.recordDoubt(now);
 * if (path.isProbeDue(now)) {
 *   path.recordProbeStart();
 *   path.recordProbe(await probe(), now);
 * }
 */
export class ServerPath {
  #kind: PathKind = 'direct';
  #probeAt = Infinity;
  #isDoubted = false;
  #isProbing = false;
  #intervalMs = MIN_PROBE_INTERVAL_MS;
  /** Consecutive probes that nobody answered. */
  #unanswered = 0;
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  get kind(): PathKind {
    return this.#kind;
  }

  /** Whether a probe is due, runs or will be due some time. */
  get needsProbes(): boolean {
    return this.#isProbing || this.#probeAt < Infinity;
  }

  /** Records that the server did not answer on its present path, so that a probe is due at once. */
  recordDoubt(now: number): void {
    if (this.#isProbing) return;
    this.#isDoubted = true;
    this.#probeAt = Math.min(this.#probeAt, now);
  }

  isProbeDue(now: number): boolean {
    return !this.#isProbing && now >= this.#probeAt;
  }

  /** Records that a probe begins; returns what it has to do. */
  recordProbeStart(): ProbePlan {
    const isDoubted = this.#isDoubted;
    this.#isProbing = true;
    this.#isDoubted = false;
    const turn = PEERS_IN_TURN[this.#unanswered % PEERS_IN_TURN.length] ?? 0;
    return { isDoubted, peers: this.#unanswered < FULL_PROBES ? SEVERAL_PEERS : [turn] };
  }

  /** Records the result of a probe; returns whether the path has changed. */
  recordProbe({ direct, tunnel }: ProbeOutcome, now: number): boolean {
    return this.#become(direct ? 'direct' : tunnel ? 'tunnel' : 'none', now);
  }

  /** Records that a connection was opened through a peer where none was opened directly. */
  recordTunnelOnly(now: number): boolean {
    if (this.#kind === 'tunnel' || this.#isProbing) return false;
    return this.#become('tunnel', now);
  }

  #become(kind: PathKind, now: number): boolean {
    const hasChanged = kind !== this.#kind;
    this.#kind = kind;
    this.#isProbing = false;
    this.#unanswered = kind === 'none' ? this.#unanswered + 1 : 0;
    if (kind === 'direct') {
      this.#probeAt = Infinity;
      this.#intervalMs = MIN_PROBE_INTERVAL_MS;
      return hasChanged;
    }
    this.#probeAt = now + this.#intervalMs * (1 - JITTER * this.#random());
    this.#intervalMs = Math.min(MAX_PROBE_INTERVAL_MS, this.#intervalMs * 2);
    return hasChanged;
  }
}
