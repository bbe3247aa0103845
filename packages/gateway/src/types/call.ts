/** Requests and responses of the pass-through pipeline, independent of their format on the wire. */

import type { PromptPart, Tokens } from '@flamingocourse/core';
import type { IncomingHttpHeaders } from 'node:http';

export type { PromptPart } from '@flamingocourse/core';

/** Size of a text generation, in tokens. */
export interface GenerationSize {
  prompt: Tokens;
  /** Maximum number of tokens to generate. */
  most: Tokens;
}

/** Decoded head of a caller's request. */
export interface CallHead {
  /** Request id. A retry by the caller has a new one. */
  id: string;
  /** Host name without the port. */
  host: string;
  method: string;
  /** Path and query. */
  target: string;
  path: string;
  /** API key of the client account; undefined if the caller sent none. */
  key: string | undefined;
  /** Caller's timeout in milliseconds; undefined if the caller sent none. */
  waitMs: number | undefined;
  /** Undefined if the request is not a text generation. */
  size: GenerationSize | undefined;
  /** In prompt order. */
  promptParts: PromptPart[];
  /** Id of the event after which a stream resumes. */
  resumeAfter: string | undefined;
  /** Id of the caller's request that brought the first event of the resumed stream. */
  resumes: string | undefined;
  headers: IncomingHttpHeaders;
  /** Alternating names and values as they were sent, for forwarding. */
  rawHeaders: string[];
}

/** What the pipeline adds to a request that it forwards. */
export interface AttemptDetails {
  serverId: string;
  /** Milliseconds left for the response. */
  leftMs: number;
  account: string | undefined;
  /** Admission priority at the server, 0 first; undefined leaves the order to the server. */
  priority: number | undefined;
  resumeAfter: string | undefined;
  /** `host:port` of a server from which the already processed part of the prompt may be copied. */
  copyFrom: string | undefined;
  bodyBytes: number;
}

/** What the head of a response says about the execution of the request. */
export type HeadVerdict =
  /** The server's own response to this request. */
  | 'answered'
  /** The server did not run the request and will not run it later. */
  | 'not-run'
  /** The address now belongs to another server; the request was not run. */
  | 'other-server'
  /** Not a response to this request; whether the request ran is unknown. */
  | 'spoilt';

/** Head of a server's response. */
export interface ServerHead {
  status: number;
  headers: IncomingHttpHeaders;
  rawHeaders: string[];
}

/** Load that a server reported in the headers of a response. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  /** Requests that it runs at once; absent if the report does not tell. */
  slots?: number;
  /** How long work takes there at this moment, as a multiple of the usual; absent if not reported. */
  slowdown?: number;
}

/** What the load header of a response says. */
export type LoadReading =
  | { type: 'none' }
  /** `ignored` is the beginning of a header of which some figures could not be read, for the log. */
  | { type: 'load'; load: ReportedLoad; ignored?: string }
  /** `text` is the beginning of what could not be read, for the log. */
  | { type: 'invalid'; text: string };
