/** Context and progress of one request. */

import type {
  EventOrder,
  NoticeView,
  PlacementPlan,
  Route,
  RouteTable,
  RoutedAccount,
  RoutedService,
  StreamSoftware,
} from '@flamingocourse/core';
import type { IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Arrival } from '../node/arrivalWatch.js';
import type { CallerAnswer } from '../node/callerAnswer.js';
import type { ListView } from '../node/serverDirectory.js';
import type { CallHead } from './call.js';
import type { StreamStart } from './streamStart.js';

/** A request as it was read from its connection. */
export interface IncomingCall {
  req: IncomingMessage;
  answer: CallerAnswer;
  arrival: Arrival;
  /** Requests that were read from the connection before this one. */
  earlier: number;
  /** Milliseconds from the start of a stop until the request was read; undefined without a stop. */
  stoppingMs: number | undefined;
}

/** Until when a request may run. It holds from when the request's head was read. */
export interface RequestLimit {
  /** Deadline, from the caller's timeout and the route's time limit. */
  endsAt: number;
  /** Aborted with an {@link EndCause}. */
  signal: AbortSignal;
}

/** Why a request is ended before its response is complete; the reason of its abort signal. */
export type EndCause = 'caller-gone' | 'time-over' | 'stopping';

/** A request whose route and account are known and whose body has been read. */
export interface RoutedCall extends RequestLimit {
  head: CallHead;
  body: Buffer;
  table: RouteTable;
  route: Route;
  account: RoutedAccount | undefined;
  service: RoutedService;
  /** Where it may begin or go on with its stream. */
  stream: StreamStart;
  /** When the time limit of the request starts. */
  arrivedAt: number;
  answer: CallerAnswer;
  /** Whether there is time for another attempt before this instance ends. */
  mayBegin: () => boolean;
}

/** Progress of one request. */
export interface RequestProgress {
  /** Servers whose attempt failed. */
  tried: string[];
  /** Connections on which an attempt was answered. */
  answeredOn: Set<Duplex>;
  /** Server of the last attempt. */
  server?: string;
  /** Software version of that server, as listed when it was chosen. */
  serverVersion?: string | undefined;
  /** State of the server list when that server was chosen. */
  list?: ListView;
  /** Notices in force for that server when the attempt started. */
  notice?: NoticeView | undefined;
  /** What that server was chosen by; undefined if cached prompts are not weighed. */
  plan?: PlacementPlan | undefined;
  /** When the last attempt was assigned to that server. */
  placedAt?: number;
  /** When the request was last written to that server. */
  sentAt?: number | undefined;
  /** Whether that server had no free slot when it answered; undefined if it did not tell. */
  serverWasFull?: boolean | undefined;
  /** When the first byte of the last attempt's complete answer arrived. */
  firstByteAt?: number | undefined;
  /** Attempts so far, whether or not they ran. */
  made: number;
  /** Attempts so far that may have run. */
  mayHaveRun: number;
  /** Events of the stream forwarded to the caller. */
  events: number;
  /** Order of these events, which every attempt has to continue. */
  order: EventOrder;
  /** Id of the event after which another server has to resume. */
  resumeAfter: string | undefined;
  /** Whether another server can be told where to go on. */
  isResumable: boolean;
  /** Software versions that may go on; narrowed by the first event. */
  software: StreamSoftware;
  /** Tokens charged to the account. */
  charged: number;
  /** Digest of the request's content; the same when the caller repeats the request. */
  fingerprint: string;
}
