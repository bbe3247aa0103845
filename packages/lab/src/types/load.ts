/** Options and results of the load generator. */

import type { RunVerdict } from '@flamingocourse/core';
import type { AnswerVerdict } from '../runtime/answerCheck.js';

/** How a caller identifies its request, so that routers recognise a retry of it. */
export type Naming = 'none' | 'key' | 'ticket';

/** Calls of a model service. */
export interface ChatMix {
  type: 'chat';
  workClass: string;
  model: string;
  weight: number;
  naming: Naming;
  /** Fraction of the calls that request a stream, from 0 to 1. */
  streamShare: number;
  maxTokens: number;
  /** Number of words in the prefix that all prompts of one account and class share. */
  sharedPrefixWords: number;
}

/** Calls of a plain service: reads, or entries, which must not run twice. */
export interface ServiceMix {
  type: 'read' | 'entry';
  workClass: string;
  service: string;
  /** Path after the name of the service, with a leading slash. */
  path: string;
  weight: number;
  naming: Naming;
}

export type MixItem = ChatMix | ServiceMix;

/** A client account that sends requests. */
export interface LoadAccount {
  name: string;
  apiKey: string;
  weight: number;
}

/** The entry URL of a router. */
export interface LoadTarget {
  url: string;
  weight: number;
}

/** Behaviour of a caller after the answer has begun. */
export type CallerBehaviour = 'ordinary' | 'slow-reader' | 'hang-up';

/** Options of {@link runLoad}. */
export interface LoadOptions {
  targets: LoadTarget[];
  accounts: LoadAccount[];
  mix: MixItem[];
  /** Mean arrival rate; arrivals do not wait for earlier answers (open loop). */
  ratePerSecond: number;
  /** Seconds during which requests arrive. */
  seconds: number;
  /** @default 1 */
  seed?: number;
  /** Limit of concurrent requests; arrivals above it are counted as not started. @default 500 */
  maxInFlight?: number;
  /** Attempts per request, including the first. @default 4 */
  maxAttempts?: number;
  /** Timeout of one attempt, in milliseconds. @default 30000 */
  timeoutMs?: number;
  /** Longest Retry-After that a caller waits for, in milliseconds. @default 3000 */
  maxRetryAfterMs?: number;
  /** Fraction of the streaming callers that read slowly. @default 0.02 */
  slowReaderShare?: number;
  /** Fraction of the streaming callers that disconnect during the answer. @default 0.02 */
  hangUpShare?: number;
  /** Called about once a second with the current figures. */
  onProgress?: (progress: LoadProgress) => void;
  /** Called with the outcome of each attempt. */
  onAttempt?: (request: PlannedRequest, end: AttemptOutcome) => void;
  /** Stops the arrivals early. */
  signal?: AbortSignal;
}

/** Figures during a run. */
export interface LoadProgress {
  elapsedMs: number;
  requests: number;
  whole: number;
  refused: number;
  inFlight: number;
}

/** One request, generated from the seed before the run. */
export interface PlannedRequest {
  number: number;
  atMs: number;
  account: LoadAccount;
  /** Index of the target of the first attempt; retries go to the next ones. */
  firstTarget: number;
  item: MixItem;
  /** Unique among all requests of the run. */
  key: string;
  stream: boolean;
  behaviour: CallerBehaviour;
  /** Number of tokens after which a `hang-up` caller disconnects. */
  hangUpAfter: number;
  prompt: string;
}

/** Token usage that the router reported for an answer. */
export interface ReportedUsage {
  promptTokens: number;
  completionTokens: number;
}

/** Outcome of one attempt of a caller. */
export type AttemptOutcome =
  | {
      type: 'answer';
      verdict: AnswerVerdict;
      firstAt: number;
      usage?: ReportedUsage;
      /** From the header `flamingocourse-request-id`. */
      requestId?: string;
    }
  | { type: 'refused'; reason: string; run: RunVerdict; retryAfterMs?: number }
  | { type: 'broken'; verdict: AnswerVerdict }
  | { type: 'hung-up'; verdict: AnswerVerdict }
  | { type: 'unreachable' };

/** Latencies in milliseconds. */
export interface Percentiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
}

/** Figures of one work class. */
export interface ClassFigures {
  requests: number;
  whole: number;
  refused: number;
  firstTokenMs: Percentiles;
  fullMs: Percentiles;
}

/** Figures of one client account. */
export interface AccountFigures {
  requests: number;
  whole: number;
  refused: number;
  /** Tokens of whole answers, as reported to the callers. */
  tokens: number;
}

/** What the caller of a non-idempotent request knows after its last attempt. */
export type EntryOutcome = 'entered' | 'not-run' | 'unknown';

/** A cut or mixed answer that a caller received. */
export interface AnswerFault {
  key: string;
  account: string;
  workClass: string;
  verdict: AnswerVerdict;
}

/** Result of one run. */
export interface LoadResult {
  seed: number;
  seconds: number;
  requests: number;
  /** Requests whose final answer is complete and belongs to the caller. */
  whole: number;
  /** Answers that were marked complete but have missing, repeated or reordered words. */
  cut: number;
  /** Answers, complete or not, that contain words of another answer. */
  mixed: number;
  /** Attempts that ended without a final event and without a refusal. */
  broken: number;
  /** Requests without an answer or a refusal after the last attempt. */
  unanswered: number;
  /** Callers that disconnected deliberately. */
  hungUp: number;
  /** Arrivals that were not started; if above 0, the load was lower than requested. */
  notStarted: number;
  /** Attempts after the first. */
  retries: number;
  /** Requests whose last attempt was refused, by reason. */
  refusals: Record<string, number>;
  classes: Record<string, ClassFigures>;
  accounts: Record<string, AccountFigures>;
  /** Outcome of each non-idempotent request, by its key. */
  entries: Record<string, EntryOutcome>;
  /** The first faults that were found. */
  faults: AnswerFault[];
}
