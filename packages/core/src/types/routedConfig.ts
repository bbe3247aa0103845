/** Configuration of the pass-through entry: routes by host and path, services and accounts. */

import type { ColdService, ReportedCold } from '../runtime/routing/coldServers.js';
import type { AccountId, DataCentreId, ServiceName, Tokens } from './ids.js';

/** Whether, and how, requests of a route may be repeated. */
export type Repetition = 'idempotent' | 'once' | 'resumable-stream' | 'once-stream';

/** Regions in which requests may run; `invalid` if they cannot be read, so that none is allowed. */
export type Homes = readonly string[] | 'invalid';

/** A service of a route with its share of the traffic. */
export interface RouteTarget {
  service: ServiceName;
  weight: number;
}

/** Rules for the requests of one host whose path begins with the prefix. */
export interface Route {
  name: string;
  host: string;
  pathPrefix: string;
  repetition: Repetition;
  /** Maximum number of servers at which one request is attempted. */
  maxAttempts: number;
  /** Maximum time for the whole answer, in milliseconds. */
  timeoutMs: number;
  /** Latency target for an answer, or for the first event of a stream, in milliseconds. */
  targetMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Whether requests need no API key. */
  open: boolean;
  targets: RouteTarget[];
  /** Absent if requests may run in any region. */
  homes?: Homes;
  /** Whether its entry cannot be used, so that its requests are refused. */
  unusable?: true;
}

/** A service to which requests are forwarded. */
export interface RoutedService {
  name: ServiceName;
  /**
   * Path of the health check, which also shows whether a server is leaving; absent if there is
   * none.
   */
  healthPath?: string;
  /**
   * Whether it generates text: requests then gain from a server that has cached the same prompt.
   */
  generates: boolean;
  /** Whether a server can copy the cached state of a prompt from another server. */
  copiesPrompts: boolean;
  /** Tokens that fit into the memory of a server; absent if unknown. */
  memoryTokens?: Tokens;
  /** Bytes that are copied for each cached token; absent if unknown. */
  tokenBytes?: number | undefined;
  /** Bytes that a server's link carries in a millisecond; absent if unknown. */
  linkBytesPerMs?: number | undefined;
  /** What its cold servers take; absent if unknown. */
  cold?: ColdService;
  /** Maximum number of tokens in one stream event. */
  tokensPerEvent: number;
}

/** A client account with its API keys. */
export interface RoutedAccount {
  name: AccountId;
  keys: string[];
  /** Absent if its requests may run in any region. */
  homes?: Homes;
  /** Overrides the route's priority. */
  priority?: number;
  /** Total tokens that may be used; absent if the account has no limit. */
  prepaid?: Tokens;
  /** Whether its entry cannot be used, so that its requests are refused. */
  unusable?: true;
}

/** Limits for requests and connections of callers. */
export interface CallerLimits {
  maxBodyBytes: number;
  /** Milliseconds within which the headers of a request must arrive. */
  headMs: number;
  /** Idle timeout of a connection, in milliseconds. */
  idleMs: number;
}

/** An entry of a configuration of which a part, or all, cannot be used. */
export interface ConfigFault {
  kind: 'route' | 'service' | 'account' | 'limit';
  /** Name of the entry, or its place in the list. */
  entry: string;
  /** What cannot be used, and why. */
  reason: string;
}

/** One version of the whole configuration. */
export interface RoutedConfig {
  version: number;
  /** Routes that cannot be used stand last. */
  routes: Route[];
  services: RoutedService[];
  /** Accounts that cannot be used stand last. */
  accounts: RoutedAccount[];
  limits: CallerLimits;
  /** Entries that cannot be used as they are written. @default none */
  faults?: readonly ConfigFault[];
}

/** A backend server as described by its entry in the server list. */
export interface ListedServer {
  service: ServiceName;
  dataCentre: DataCentreId;
  /** `http://host:port`. */
  url: string;
  state: 'live' | 'leaving';
  /** Number of requests that it runs concurrently. */
  slots: number;
  /**
   * Start time of this server process, by its own clock. A change means that the server has
   * restarted and has lost all its state.
   */
  bornAt?: number | undefined;
  /** How much longer it stays cold, as of the last change of its entry. */
  cold?: ReportedCold | undefined;
  /** Version of the software that the server runs, if the entry states one. */
  softwareVersion?: string | undefined;
}
