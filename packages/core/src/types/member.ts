/** Instances of the fleet and backend servers as the routers see them. */

import type { DataCentreId, EpochMs, IncarnationId, ServerId, ServiceName } from './ids.js';

/** What a router tells its peers about itself. */
export interface MemberInfo {
  incarnation: IncarnationId;
  dataCentre: DataCentreId;
  /** Stable name of the router instance, from its settings. */
  instance: string;
  /** `http://host:port` of the mesh listener. */
  meshUrl: string;
  /** `http://host:port` of the callers' listener. */
  entryUrl: string;
  state: 'starting' | 'serving' | 'leaving';
  /** Rises with each heartbeat, so that an old message never overrides a newer one. */
  beat: number;
  /** Highest configuration revision in force at this router. */
  revision: number;
}

/** A router's own judgement of a peer. */
export type PeerHealth = 'alive' | 'suspect' | 'gone';

/** Entry of the platform's lagging instance list. */
export interface InstanceRecord {
  service: string;
  id: string;
  dataCentre: DataCentreId;
  /** `http://host:port`. */
  url: string;
  state: 'live' | 'leaving';
}

/** A backend server as known to routing. */
export interface BackendServer {
  service: ServiceName;
  id: ServerId;
  dataCentre: DataCentreId;
  url: string;
  state: 'live' | 'leaving';
  /** Start of this life of the server, by its own clock, where the list tells it. */
  bornAt?: number | undefined;
  /** Last load report and when it was taken; both lag. */
  load?: { running: number; waiting: number; at: EpochMs };
}
