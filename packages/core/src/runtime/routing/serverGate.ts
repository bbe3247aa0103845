/** Whether a request may be sent to a server of one service, and if not, why and from when. */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type { BackendServer } from '../../types/member.js';
import type { ServerBounds } from '../../types/placement.js';
import type { ClosedReason, SendRules } from './sendRules.js';
import type { RecordedSoftware } from './recordedSoftware.js';
import type { SeenSoftware } from './seenSoftware.js';
import type { ServerEntry } from './serverEntry.js';

/** Why a request may not be sent to a server for an unknown time. */
export type SendObstacle =
  | ClosedReason
  /** The request must not run in its region. */
  | 'outside-homes'
  /** An operator has taken it out of service. */
  | 'drained'
  /** Other instances send to it. */
  | 'outside-subset'
  /** It runs another software version than the request's stream, or none that is certain. */
  | 'other-software'
  | 'unreachable';

/** What is known of the software of the servers. */
export interface KnownSoftware {
  seen: SeenSoftware;
  /** Undefined where nothing is recorded and streams begin anywhere. */
  recorded?: RecordedSoftware;
}

/**
 * The one place that decides whether a request may be sent to a server, for its first attempt, its
 * repeats and its resumed stream. Health of the server is not part of it.
 *
 * @example
 * const gate = new ServerGate(rules, { seen, recorded });
 * if (gate.obstacle(entry, bounds, now) === undefined && gate.nextAt(entry, now) <= now) send();
 */
export class ServerGate {
  readonly rules: SendRules;
  readonly #software: KnownSoftware;
  readonly #drained = new Set<ServerId>();
  #subset: ReadonlySet<ServerId> | undefined;

  constructor(rules: SendRules, software: KnownSoftware) {
    this.rules = rules;
    this.#software = software;
  }

  /** Restricts new requests to some of the servers; `undefined` removes the restriction. */
  setSubset(ids: ReadonlySet<ServerId> | undefined): void {
    this.#subset = ids;
  }

  /** Starts or ends an operator's drain of a server; applies regardless of the list. */
  setDrained(id: ServerId, drained: boolean): void {
    if (drained) this.#drained.add(id);
    else this.#drained.delete(id);
  }

  /** Records the software of listed servers. */
  observeSoftware(servers: readonly BackendServer[], now: EpochMs): void {
    for (const { service, softwareVersion = '' } of servers) {
      this.#software.seen.observe(service, softwareVersion, now);
    }
  }

  /** Why a request may not be sent to a server for an unknown time; undefined if it may. */
  obstacle(entry: ServerEntry, bounds: ServerBounds, now: EpochMs): SendObstacle | undefined {
    if (bounds.homes?.has(entry.server.dataCentre) === false) return 'outside-homes';
    const closed = this.closedBy(entry);
    if (closed !== undefined) return closed;
    if (this.#drained.has(entry.server.id)) return 'drained';
    if (this.#subset?.has(entry.server.id) === false) return 'outside-subset';
    if (!this.#hasSoftware(entry, bounds, now)) return 'other-software';
    return entry.reachable(now) ? undefined : 'unreachable';
  }

  /** Why nothing may be sent to a server for an unknown time; undefined if something may be. */
  closedBy(entry: ServerEntry): ClosedReason | undefined {
    return entry.leaving ? 'leaving' : this.rules.closedBy(entry.server);
  }

  /** Remaining milliseconds of the pause that a server requested; 0 if there is none. */
  restMs({ server }: ServerEntry, now: EpochMs): number {
    return this.rules.notices.restMs(server, now);
  }

  /** When this instance may send the next request to a server. */
  nextAt({ server }: ServerEntry, now: EpochMs): EpochMs {
    return this.rules.nextAt(server, now);
  }

  /** The only place that decides by software, whichever attempt, caller's try or instance goes on. */
  #hasSoftware(
    { server, replacedUntil }: ServerEntry,
    { software }: ServerBounds,
    now: EpochMs,
  ): boolean {
    if (software.type === 'any') return true;
    if (replacedUntil > now) return false;
    if (software.type === 'version') return server.softwareVersion === software.version;
    const { seen, recorded } = this.#software;
    const { service, softwareVersion = '' } = server;
    // only what is recorded lets a later process tell where a stream may have begun.
    if (recorded?.has(service, softwareVersion) === false) return false;
    if (software.type === 'begins') return true;
    return seen.versionsOf(service, now).length <= 1;
  }
}
