/** Requests and answers as the pass-through pipeline sees them, whatever their form on the wire. */

import type { Tokens } from '@flamingocourse/core';
import type { IncomingHttpHeaders } from 'node:http';

/** A part of a prompt; requests with the same part share cached state at a server. */
export interface PromptPart {
  id: string;
  tokens: Tokens;
}

/** Size of a generation. */
export interface GenerationSize {
  prompt: Tokens;
  /** Most tokens that may be generated. */
  most: Tokens;
}

/** What a caller said in the head of its request. */
export interface CallHead {
  /** Identity of this one try of the caller. */
  id: string;
  /** Without port. */
  host: string;
  method: string;
  /** Path and query. */
  target: string;
  path: string;
  /** Key of the account; undefined when the caller sent none. */
  key: string | undefined;
  /** Milliseconds that the caller will wait; undefined when it did not say. */
  waitMs: number | undefined;
  /** Absent for work that is not a generation. */
  size: GenerationSize | undefined;
  /** In prompt order. */
  promptParts: PromptPart[];
  /** Event after which a stream is to go on. */
  resumeAfter: string | undefined;
  headers: IncomingHttpHeaders;
  /** Header names as they were sent, for passing on. */
  rawHeaders: string[];
}

/** What the pipeline adds to a request that it passes on. */
export interface AttemptDetails {
  serverId: string;
  /** Milliseconds that are left for the answer. */
  leftMs: number;
  account: string | undefined;
  /** Order in which the server admits, 0 first; undefined leaves it to the server. */
  priority: number | undefined;
  resumeAfter: string | undefined;
  /** `host:port` of a server from which the prompt may be copied as far as it was read there. */
  copyFrom: string | undefined;
  bodyBytes: number;
}

/** What an answer's head says about the run. */
export type HeadVerdict =
  /** The server's own answer to this request. */
  | 'answered'
  /** The server says that it did not run the request, and never will. */
  | 'not-run'
  /** The address belongs to another server; not run. */
  | 'other-server'
  /** Not an answer to this request; whether it ran is not known. */
  | 'spoilt';

/** Head of a server's answer. */
export interface ServerHead {
  status: number;
  headers: IncomingHttpHeaders;
  rawHeaders: string[];
}

/** Load that a server told with an answer. */
export interface ToldLoad {
  running: number;
  waiting: number;
}
