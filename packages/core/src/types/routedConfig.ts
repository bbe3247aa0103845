/** Configuration of the pass-through entry: routes by host and path, services and accounts. */

import type { AccountId, DataCentreId, ServiceName, Tokens } from './ids.js';

/** What may be repeated of a request on a route. */
export type Repetition = 'idempotent' | 'once' | 'resumable-stream' | 'once-stream';

/** A service of a route with its part of the traffic. */
export interface RouteTarget {
  service: ServiceName;
  weight: number;
}

/** Requests of one host whose path begins with the prefix. */
export interface Route {
  name: string;
  host: string;
  pathPrefix: string;
  repetition: Repetition;
  /** Servers that one request may be run on. */
  maxAttempts: number;
  /** Longest time that a caller is kept waiting for the whole answer, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer, or the first event of a stream, is on time, in milliseconds. */
  targetMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Whether a request needs no key. */
  open: boolean;
  targets: RouteTarget[];
}

/** A service that requests are passed to. */
export interface RoutedService {
  name: ServiceName;
  /** Path at which a server tells whether it is well and stays; absent where it has none. */
  healthPath?: string;
  /** Whether it generates text, so that requests gain from a server that read the same prompt. */
  generates: boolean;
  /** Whether a server can copy a prompt that another has read. */
  copiesPrompts: boolean;
  /** Tokens that fit into the memory of a server; absent where it does not say. */
  memoryTokens?: Tokens;
  /** Most tokens that one event of a stream holds. */
  tokensPerEvent: number;
}

/** A client account with its keys. */
export interface RoutedAccount {
  name: AccountId;
  keys: string[];
  /** Goes before the route's. */
  priority?: number;
  /** Tokens that may be used in all; absent where the account is not limited. */
  prepaid?: Tokens;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  maxBodyBytes: number;
  /** Milliseconds in which a request's head has to come. */
  headMs: number;
  /** Milliseconds for which a connection may be idle. */
  idleMs: number;
}

/** One version of the whole configuration. */
export interface RoutedConfig {
  version: number;
  routes: Route[];
  services: RoutedService[];
  accounts: RoutedAccount[];
  limits: CallerLimits;
}

/** A server as its entry in the list says. */
export interface ListedServer {
  service: ServiceName;
  dataCentre: DataCentreId;
  /** `http://host:port`. */
  url: string;
  state: 'live' | 'leaving';
  /** Requests that it works on at once. */
  slots: number;
  /** When this life of the server began, by its own clock; a change means that it holds nothing. */
  bornAt?: number | undefined;
}
