/** Decides by which path new connections to one server are opened, and when paths are probed. */

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

/**
 * State of the paths to one server. Times are in milliseconds of a monotonic clock.
 *
 * @example
 * const path = new ServerPath();
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

  /**
   * Records that a probe begins.
   *
   * @returns Whether the present path is in doubt. Without doubt, a tunnel needs no probe itself.
   */
  recordProbeStart(): boolean {
    const isDoubted = this.#isDoubted;
    this.#isProbing = true;
    this.#isDoubted = false;
    return isDoubted;
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
    if (kind === 'direct') {
      this.#probeAt = Infinity;
      this.#intervalMs = MIN_PROBE_INTERVAL_MS;
      return hasChanged;
    }
    this.#probeAt = now + this.#intervalMs;
    this.#intervalMs = Math.min(MAX_PROBE_INTERVAL_MS, this.#intervalMs * 2);
    return hasChanged;
  }
}
