/** The seams between the pipeline and the forms of requests and answers. */

import type { Refusal, ServerId, ServerNotice, ServerWord } from '@flamingocourse/core';
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import type { Result } from 'true-myth';
import type { AttemptDetails, CallHead, HeadVerdict, ServerHead, ToldLoad } from './call.js';

/** A refusal as it is written. */
export interface WrittenRefusal {
  status: number;
  headers: OutgoingHttpHeaders;
  body: string;
}

/** How callers speak. */
export abstract class CallerDialect {
  /** Path that tells whether this instance wants new connections. */
  abstract readonly readyPath: string;
  /** Decodes a request's head. The error says what is wrong with it. */
  abstract decode(req: IncomingMessage): Result<CallHead, string>;
  /** Decides status and headers of a refusal. */
  abstract writeRefusal(refusal: Refusal): WrittenRefusal;
}

/** How backend servers speak. */
export abstract class ServerDialect {
  /** Headers of an attempt, as alternating names and values. */
  abstract attemptHeaders(head: CallHead, details: AttemptDetails): string[];
  /** Judges the head of an answer. */
  abstract judge(head: CallHead, answer: ServerHead): HeadVerdict;
  /** Load of the server, where it told it. */
  abstract load(answer: ServerHead): ToldLoad | undefined;
  /** What the answer says of its server: leaving, rest and rate limit. */
  abstract notice(answer: ServerHead): ServerNotice;
  /** Headers of a question for a server's status, as alternating names and values. */
  abstract healthHeaders(serverId: ServerId, host: string): string[];
  /** Decides what the answer says of the server that was asked. */
  abstract judgeHealth(serverId: ServerId, answer: ServerHead): ServerWord;
  /** Headers for the caller, as alternating names and values, without those of the connection. */
  abstract answerHeaders(answer: ServerHead): string[];
}
