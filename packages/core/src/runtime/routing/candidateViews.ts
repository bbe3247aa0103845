/** How a server appears to the choosers. */

import type { DataCentreId, EpochMs } from '../../types/ids.js';
import type { Candidate } from '../../types/placement.js';
import type { ServerEntry } from './serverEntry.js';
import type { HealthSettings } from './serverHealth.js';
import type { ServerRoom } from './serverRoom.js';
import type { TimingState } from './serverTiming.js';

/** Dependencies of {@link CandidateViews}. */
export interface CandidateViewPorts {
  dataCentre: DataCentreId;
  health: HealthSettings;
  room: ServerRoom;
}

/** State of the pool that the views of its servers depend on. */
export interface PoolState {
  /** Routers that share the servers of this data centre, including this one. */
  sharers: number;
  /** Attempts that have been sent to all servers. */
  attempts: number;
  servers: number;
}

/**
 * Creates the candidates of one pool.
 *
 * @example
 * const candidate = views.view(entry, state, now);
 */
export class CandidateViews {
  readonly #ports: CandidateViewPorts;

  constructor(ports: CandidateViewPorts) {
    this.#ports = ports;
  }

  /** @param extra fraction of the slots that may be used beyond the limit. */
  view(entry: ServerEntry, state: PoolState, now: EpochMs, extra = 0): Candidate {
    const { health, room } = this.#ports;
    const most = room.maxInFlight(entry, now);
    const capacity = most === undefined ? entry.capacity(health, now) : room.declaredSlots(entry);
    const load = entry.load.total(now);
    // load reports are delayed. If one router refilled each free slot at once, another router would
    // see a full server in every report and wait for ever. So each router may always use a fair
    // share.
    const fairPart = this.isLocal(entry) ? Math.ceil(capacity / state.sharers) : 0;
    return {
      id: entry.server.id,
      idHash: entry.idHash,
      url: entry.server.url,
      local: this.isLocal(entry),
      load,
      loadAgeMs: entry.load.ageMs(now),
      capacity,
      eventMs: entry.pace.eventMs,
      slowdown: entry.timing.slowdown(now),
      expectedMs: entry.timing.expectedMs(this.timingState(entry), now),
      isDue: room.isLimited(entry) && isBelowFairShare(entry, state),
      hasRoom:
        most === undefined
          ? load < capacity * (1 + extra) || entry.load.own < fairPart
          : entry.load.own < most,
    };
  }

  /** What the expected time at a server depends on. */
  timingState(entry: ServerEntry): TimingState {
    return { own: entry.load.own, slots: this.#ports.room.declaredSlots(entry) };
  }

  /** Free slots of a candidate, as its pool counts them. */
  freeSlots(entry: ServerEntry | undefined, { capacity, load }: Candidate, now: EpochMs): number {
    const free = Math.max(0, capacity - load);
    return entry ? this.#ports.room.freeSlots(entry, capacity, load, now) : free;
  }

  /** Whether a server is in the data centre of this router. */
  isLocal({ server }: ServerEntry): boolean {
    return server.dataCentre === this.#ports.dataCentre;
  }
}

/** Whether the other servers have received at least an equal share since its last request. */
function isBelowFairShare({ lastAttempt }: ServerEntry, { attempts, servers }: PoolState): boolean {
  return attempts - lastAttempt >= servers;
}
