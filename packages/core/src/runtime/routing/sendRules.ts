/** Whether anything may be sent to a server, whichever request or check it is. */

import type { DataCentreId, EpochMs, ServiceName } from '../../types/ids.js';
import type { ServerIncarnation, ServerNotices } from './serverNotices.js';

/** A server as the rules for sending see it. */
export interface SendTarget extends ServerIncarnation {
  service: ServiceName;
  dataCentre: DataCentreId;
}

/** Why nothing may be sent to a server for an unknown time. */
export type ClosedReason = /** It reported that it is leaving. */ 'leaving';

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

  constructor(notices: ServerNotices) {
    this.notices = notices;
  }

  /** Why nothing may be sent to a server for an unknown time; undefined if something may be. */
  closedBy(server: SendTarget): ClosedReason | undefined {
    return this.notices.isLeaving(server) ? 'leaving' : undefined;
  }

  /** When this instance may send the next request to a server; infinite if that is not known. */
  nextAt(server: SendTarget, now: EpochMs): EpochMs {
    return this.closedBy(server) === undefined ? this.notices.nextAt(server, now) : Infinity;
  }

  /** Records anything sent to a server outside a pool, such as a health check. */
  recordSent(server: SendTarget, now: EpochMs): void {
    this.notices.recordSent(server, now);
  }
}
