/** Whether anything may be sent to a server, whichever request or check it is. */

import type { DataCentreId, EpochMs, ServiceName } from '../../types/ids.js';
import type { ServerIncarnation, ServerNotices } from './serverNotices.js';
import type { ColdSend } from './coldServers.js';
import { ColdServers } from './coldServers.js';
import { Evacuations } from './evacuations.js';

/** A server as the rules for sending see it. */
export interface SendTarget extends ServerIncarnation {
  service: ServiceName;
  dataCentre: DataCentreId;
}

/** Why nothing may be sent to a server for an unknown time. */
export type ClosedReason =
  | /** It reported that it is leaving. */ 'leaving'
  | /** An operator has evacuated its data centre. */ 'evacuated';

/**
 * The rules that bind requests, repeats, resumed streams, health checks and probes alike, for all
 * servers that an instance knows.
 *
 * @example
 * if (rules.nextAt(server, now) <= now) {
 *   rules.recordSent(server, now);
 *   send(server);
 * }
 */
export class SendRules {
  readonly notices: ServerNotices;
  readonly evacuations: Evacuations;
  readonly cold: ColdServers;

  /** @param evacuations Data centres to whose servers nothing may be sent. */
  constructor(notices: ServerNotices, evacuations = new Evacuations(), cold = new ColdServers()) {
    this.notices = notices;
    this.evacuations = evacuations;
    this.cold = cold;
  }

  /** Why nothing may be sent to a server for an unknown time; undefined if something may be. */
  closedBy(server: SendTarget): ClosedReason | undefined {
    if (this.notices.isLeaving(server)) return 'leaving';
    return this.evacuations.has(server.dataCentre) ? 'evacuated' : undefined;
  }

  /** When this instance may send the next request to a server; infinite if that is not known. */
  nextAt(server: SendTarget, now: EpochMs): EpochMs {
    if (this.closedBy(server) !== undefined) return Infinity;
    return Math.max(this.notices.nextAt(server, now), this.cold.nextAt(server, now));
  }

  /** Records a request that is about to be sent to a server. */
  take(server: SendTarget, now: EpochMs): ColdSend {
    this.notices.recordSent(server, now);
    return this.cold.take(server, now);
  }

  /** Records anything sent to a server outside a pool, such as a health check. */
  recordSent(server: SendTarget, now: EpochMs): void {
    this.cold.recordSent(this.take(server, now), now);
  }
}
