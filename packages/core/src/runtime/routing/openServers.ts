/** Which servers of a pool may receive requests. */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { BackendServer } from '../../types/member.js';
import type { ServerBounds } from '../../types/placement.js';
import type { ServerEntry } from './serverEntry.js';
import type { SendObstacle, ServerGate } from './serverGate.js';
import type { HealthSettings } from './serverHealth.js';
import { rendezvousRank } from '../../utils/hash.js';
import { ANY_SERVER } from './serverBounds.js';

/** Maximum fraction of the pool that can be ejected at once. */
const MAX_EJECTED_SHARE = 0.5;
/** Obstacles that somebody has chosen, the most telling first. */
const CHOSEN_OBSTACLES: readonly SendObstacle[] = ['evacuated', 'other-software', 'outside-homes'];

/** Dependencies of {@link OpenServers}. */
export interface OpenServersPorts {
  entries: ReadonlyMap<ServerId, ServerEntry>;
  gate: ServerGate;
  health: HealthSettings;
}

/**
 * Selects servers of one pool, regardless of their load.
 *
 * @example
 * const open = openServers.open(now, bounds);
 */
export class OpenServers {
  readonly #ports: OpenServersPorts;

  constructor(ports: OpenServersPorts) {
    this.#ports = ports;
  }

  /** Servers that are not leaving, drained, ejected or in a requested pause. */
  open(now: EpochMs, bounds = ANY_SERVER): ServerEntry[] {
    const { gate, health } = this.#ports;
    const reachable = this.#staying(now, bounds).filter((entry) => gate.restMs(entry, now) === 0);
    const healthy = reachable.filter((entry) => entry.share(health, now) > 0);
    // if most servers seem unhealthy, the network or the requests are more likely at fault.
    // Ejecting them would move all load to the few others and overload these as well.
    const tooFew = healthy.length < reachable.length * (1 - MAX_EJECTED_SHARE);
    return tooFew ? reachable : healthy;
  }

  /** Why no server may run a request, now or later; undefined if one may, or if there is none. */
  closedBy(now: EpochMs, bounds = ANY_SERVER): SendObstacle | undefined {
    const obstacles = this.#entries.map((entry) => this.#ports.gate.obstacle(entry, bounds, now));
    if (obstacles.includes(undefined)) return undefined;
    // the reason that somebody has chosen tells callers more than a server that is lost.
    return CHOSEN_OBSTACLES.find((each) => obstacles.includes(each)) ?? obstacles[0];
  }

  /**
   * Milliseconds until the first requested pause ends; undefined if no server has requested one.
   */
  pauseEndsInMs(now: EpochMs, bounds = ANY_SERVER): number | undefined {
    const { gate } = this.#ports;
    const pausesMs = this.#staying(now, bounds).map((entry) => gate.restMs(entry, now));
    const activeMs = pausesMs.filter((restMs) => restMs > 0);
    return activeMs.length === 0 ? undefined : Math.min(...activeMs);
  }

  /** First server in the rendezvous order of a prompt whose memory can be read. */
  likelyPromptServer(
    prefixHash: number,
    except: ReadonlySet<ServerId>,
    now: EpochMs,
    bounds = ANY_SERVER,
  ): BackendServer | undefined {
    const others = this.#entries.filter((entry) => {
      return !except.has(entry.server.id) && this.canBeRead(entry, bounds, now);
    });
    const [first, ...rest] = others;
    if (!first) return undefined;
    const rank = ({ idHash }: ServerEntry): number => rendezvousRank(prefixHash, idHash);
    return rest.reduce((best, next) => (rank(next) > rank(best) ? next : best), first).server;
  }

  /** Whether its memory of prompts can be read by another server, for a request with such bounds. */
  canBeRead(entry: ServerEntry, { homes }: ServerBounds, now: EpochMs): boolean {
    const isHome = homes?.has(entry.server.dataCentre) ?? true;
    return isHome && entry.reachable(now) && this.#ports.gate.closedBy(entry) === undefined;
  }

  /** Servers to which a request may be sent, now or after a pause. */
  #staying(now: EpochMs, bounds: ServerBounds): ServerEntry[] {
    const { gate } = this.#ports;
    // a version that only the list shows counts as well.
    if (bounds.software.type === 'unknown') {
      gate.observeSoftware(
        this.#entries.map(({ server }) => server),
        now,
      );
    }
    // unreachable servers are always excluded, unlike ejected ones. If most servers are behind a
    // partition, the few others get all requests; if none is reachable, the caller is refused at
    // once. After a delay, a single request tests each unreachable server again.
    return this.#entries.filter((entry) => gate.obstacle(entry, bounds, now) === undefined);
  }

  get #entries(): ServerEntry[] {
    return [...this.#ports.entries.values()];
  }
}
