/** How much room the servers of one service have for requests, and when they take the next one. */

import type { EpochMs } from '../../types/ids.js';
import type { HealthSettings } from './serverHealth.js';
import type { ServerEntry } from './serverEntry.js';
import type { ServerGate } from './serverGate.js';
import type { RateLimitPace } from './serverRateLimits.js';
import { slowerPace } from './sendPace.js';

/** Dependencies of {@link ServerRoom}. */
export interface ServerRoomPorts {
  gate: ServerGate;
  health: HealthSettings;
  /** Declared maximum of concurrent requests for servers that state none. */
  concurrencyPerServer: number;
}

/**
 * Room at single servers. Rate limits, brittle and cold servers leave less of it than a server has
 * slots.
 *
 * @example
 * const room = new ServerRoom({ gate, health, concurrencyPerServer: 8 });
 * if (room.maySend(entry, now)) send(entry);
 */
export class ServerRoom {
  readonly #ports: ServerRoomPorts;

  constructor(ports: ServerRoomPorts) {
    this.#ports = ports;
  }

  /** Whether a server takes a request now by its notices, with or without capacity. */
  maySend(entry: ServerEntry, now: EpochMs): boolean {
    return this.#ports.gate.nextAt(entry, now) <= now;
  }

  /** Maximum own requests in flight at a brittle server; undefined for others. */
  maxInFlight(entry: ServerEntry, now: EpochMs): number | undefined {
    return this.#notices.brittle.maxInFlight(entry.server, this.declaredSlots(entry), now);
  }

  /** Requests that a server runs at once. */
  declaredSlots({ server }: ServerEntry): number {
    return server.slots ?? this.#ports.concurrencyPerServer;
  }

  /** Whether a server has a rate limit. */
  isLimited({ server }: ServerEntry): boolean {
    return this.#notices.rateLimits.has(server.id);
  }

  /** Pace of a server that has a rate limit, is cold or brittle; undefined for others. */
  pace(entry: ServerEntry, now: EpochMs): RateLimitPace | undefined {
    const { brittle, rateLimits } = this.#notices;
    const limitPace = rateLimits.pace([entry.server.id], now);
    const pace = slowerPace(limitPace, this.#coldPace(entry, now));
    const most = this.maxInFlight(entry, now);
    if (most === undefined) return pace;
    const pauseMs = brittle.nextAt(entry.server, now) - now;
    return slowerPace(pace, entry.load.pace(most, pauseMs, now));
  }

  /** Slots of a server; if a notice bounds it, only those that may be used now. */
  slots(entry: ServerEntry, now: EpochMs): number {
    if (!this.maySend(entry, now)) return 0;
    if (this.isLimited(entry)) return 1;
    return this.maxInFlight(entry, now) ?? entry.capacity(this.#ports.health, now);
  }

  /** Slots that are free, for a server with this capacity and load. */
  freeSlots(entry: ServerEntry, capacity: number, load: number, now: EpochMs): number {
    if (this.isLimited(entry)) return 1;
    const most = this.maxInFlight(entry, now);
    return Math.max(0, most === undefined ? capacity - load : most - entry.load.own);
  }

  #coldPace({ server }: ServerEntry, now: EpochMs): RateLimitPace | undefined {
    const { cold } = this.#ports.gate.rules;
    if (!cold.isCold(server.id, now)) return undefined;
    const firstMs = Math.max(0, cold.nextAt(server, now) - now);
    return { firstMs, intervalMs: cold.intervalMs(server, now) };
  }

  get #notices(): ServerGate['rules']['notices'] {
    return this.#ports.gate.rules.notices;
  }
}
