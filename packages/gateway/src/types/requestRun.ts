/** What a request is run with, and how far it has come. */

import type {
  NoticeView,
  Route,
  RouteTable,
  RoutedAccount,
  RoutedService,
} from '@flamingocourse/core';
import type { BackendLanes } from '../node/backendLanes.js';
import type { CallerAnswer } from '../node/callerAnswer.js';
import type { PrepaidService } from '../node/prepaidService.js';
import type { ServerAgent } from '../node/serverAgent.js';
import type { ListView, ServerDirectory } from '../node/serverDirectory.js';
import type { CallHead } from './call.js';
import type { GatewayContext } from './context.js';

/** What all requests of a process share. */
export interface FlowParts {
  context: GatewayContext;
  lanes: BackendLanes;
  prepaid: PrepaidService;
  directory: ServerDirectory;
  agent: ServerAgent;
}

/** A request whose route and account are known and whose body was read. */
export interface RoutedCall {
  head: CallHead;
  body: Buffer;
  table: RouteTable;
  route: Route;
  account: RoutedAccount | undefined;
  service: RoutedService;
  /** From when its time counts. */
  arrivedAt: number;
  /** When its time is over, by the caller's word and the route's limit. */
  endsAt: number;
  answer: CallerAnswer;
  /** Aborted when the caller left or its time is over. */
  signal: AbortSignal;
}

/** Progress of one request. */
export interface Progress {
  /** Servers whose attempt failed. */
  tried: string[];
  /** Server of the last attempt. */
  server?: string;
  /** State of the list by which that server was chosen. */
  list?: ListView;
  /** What that server had said of itself before the attempt. */
  notice?: NoticeView | undefined;
  /** When the last attempt got its place at that server. */
  placedAt?: number;
  /** When the last attempt was written to that server. */
  sentAt?: number | undefined;
  /** Attempts so far, all kinds. */
  made: number;
  /** Attempts so far that may have run. */
  mayHaveRun: number;
  /** Events of the stream that were passed on. */
  events: number;
  /** Event after which another server has to go on. */
  resumeAfter: string | undefined;
  /** Tokens charged to the account. */
  charged: number;
  /** Digest of what runs, the same whenever the caller sends it again. */
  fingerprint: string;
}
