/** Interfaces between the pipeline and the wire formats of callers and backend servers. */

import type { ResponseHead } from '../utils/responseHead.js';
import type { Refusal, ServerId, ServerNotice, ProbeResult } from '@flamingocourse/core';
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import type { Result } from 'true-myth';
import type { AttemptDetails, CallHead, HeadVerdict, LoadReading, ServerHead } from './call.js';

/** HTTP response that carries a refusal. */
export interface EncodedRefusal {
  status: number;
  headers: OutgoingHttpHeaders;
  body: string;
}

/** Wire format between callers and this instance. */
export abstract class CallerDialect {
  /** Path of the readiness check. */
  abstract readonly readyPath: string;
  /** Decodes the head of a request. The error describes what is invalid. */
  abstract decode(req: IncomingMessage): Result<CallHead, string>;
  /** Encodes a refusal as an HTTP response. */
  abstract encodeRefusal(refusal: Refusal): EncodedRefusal;
}

/** Request for the state of a server. */
export interface StateRequest {
  /** Path and query. */
  target: string;
  /** Alternating names and values. */
  headers: string[];
}

/** Wire format between this instance and backend servers. */
export abstract class ServerDialect {
  /** Name of the field in which an event names the version of the weights that made it; lower case. */
  abstract readonly weightsField: string;
  /** Returns the headers of an attempt, as alternating names and values. */
  abstract attemptHeaders(head: CallHead, details: AttemptDetails): string[];
  /** Classifies the head of a response. */
  abstract judge(head: CallHead, answer: ServerHead): HeadVerdict;
  /** Returns whether a response names another request than the one that was sent. */
  abstract answersOther(head: CallHead, answer: ResponseHead): boolean;
  /** Returns the load and speed of the server, if the response reports them. */
  abstract load(answer: ServerHead): LoadReading;
  /** Returns what the response says about its server: leaving, requested pause and rate limit. */
  abstract notice(answer: ServerHead): ServerNotice;
  /** Returns the headers of a health check, as alternating names and values. */
  abstract healthHeaders(serverId: ServerId, host: string): string[];
  /** Returns the request with which a server is asked for its state, which takes no slot. */
  abstract stateRequest(serverId: ServerId, host: string): StateRequest;
  /**
   * Returns whether a response can be to a health check or a request for the state, which name no request.
   * Only then the other methods may read it as such.
   */
  abstract answersCheck(answer: ServerHead): boolean;
  /** Returns when the server started, by its own clock; undefined if its state does not tell. */
  abstract bornAt(answer: ServerHead, body: string): number | undefined;
  /** Classifies the response to a health check of server `serverId`. */
  abstract judgeHealth(serverId: ServerId, answer: ServerHead): ProbeResult;
  /**
   * Returns the headers for the caller, as alternating names and values, without hop-by-hop
   * headers.
   */
  abstract answerHeaders(answer: ServerHead): string[];
}
