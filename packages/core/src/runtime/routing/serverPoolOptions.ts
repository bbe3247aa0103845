/** Options of a server pool. */

import type { DataCentreId } from '../../types/ids.js';
import type { ConcurrencyLimitKind } from './concurrencyLimit.js';
import type { RestoredBy } from './reachability.js';
import type { KnownSoftware } from './serverGate.js';
import type { HealthSettings } from './serverHealth.js';
import { SendRules } from './sendRules.js';
import { ServerNotices } from './serverNotices.js';
import { ServerRateLimits } from './serverRateLimits.js';

/** Options of a server pool. */
export interface ServerPoolOptions {
  /** Data centre of this router. */
  dataCentre: DataCentreId;
  /** Declared maximum of concurrent requests per server. */
  concurrencyPerServer: number;
  /** @default 'aimd' */
  limitKind?: ConcurrencyLimitKind;
  /** Routers that share the servers of this data centre, including this one. @default 1 */
  sharers?: number;
  health?: Partial<HealthSettings>;
  /** What binds everything that is sent to servers. @default no rules */
  rules?: SendRules;
  /** Whether all requests are alike, so that their response times tell how fast a server is. @default false */
  timesAnswers?: boolean;
  /** What shows that a silent server can be reached again. @default 'requests' */
  restoredBy?: RestoredBy;
  /** Software versions of the service, shared with whatever else hears of them. @default none */
  software?: KnownSoftware;
}

/** Which slots a request may use; see `ImportanceReserve`. A slot is room for one request. */
export interface PlacementRule {
  /** Fraction of all slots that must stay free, from 0 to 1. */
  keptFree: number;
  /** Fraction of a server's slots that may be used beyond its limit, from 0 to 1. */
  extra: number;
}

/** Rules of a pool that binds nothing. */
export function withoutNotices(): SendRules {
  return new SendRules(new ServerNotices(new ServerRateLimits(() => 0), () => 0));
}
