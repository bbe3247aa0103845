/** Router instances and backend servers, as routers know them. */

import type { DataCentreId, EpochMs, IncarnationId, ServerId, ServiceName } from './ids.js';

/** What a router reports to its peers about itself. */
export interface MemberInfo {
  incarnation: IncarnationId;
  dataCentre: DataCentreId;
  /** Stable name of the router instance, from its settings. */
  instance: string;
  /** `http://host:port` of the mesh listener. */
  meshUrl: string;
  /** `http://host:port` of the listener for callers. */
  entryUrl: string;
  state: 'starting' | 'serving' | 'leaving';
  /** Incremented with each heartbeat, so that an old message never overrides a newer one. */
  beat: number;
  /** Highest configuration revision in force at this router. */
  revision: number;
}

/** Health of a peer as one router sees it. */
export type PeerHealth = 'alive' | 'suspect' | 'gone';

/** Entry of the platform's instance list, which may be out of date. */
export interface InstanceRecord {
  service: string;
  id: string;
  dataCentre: DataCentreId;
  /** `http://host:port`. */
  url: string;
  state: 'live' | 'leaving';
}

/** A backend server as the routing code knows it. */
export interface BackendServer {
  service: ServiceName;
  id: ServerId;
  dataCentre: DataCentreId;
  url: string;
  state: 'live' | 'leaving';
  /** Start time of this server incarnation, by its own clock, if the list contains it. */
  bornAt?: number | undefined;
  /** Version of the software that it runs, if the list contains it. */
  softwareVersion?: string | undefined;
  /** Number of requests that it runs concurrently, if the list contains it. */
  slots?: number;
  /** Last load report and the time of the measurement. The report may be out of date. */
  load?: { running: number; waiting: number; at: EpochMs };
}
