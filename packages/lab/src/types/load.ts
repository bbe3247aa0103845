/** What the load generator is told to do and what it found. */

import type { RunVerdict } from '@flamingocourse/core';
import type { AnswerVerdict } from '../runtime/answerCheck.js';

/** How a caller names its request, so that a retry is known as the same request. */
export type Naming = 'none' | 'key' | 'ticket';

/** Calls of a model service. */
export interface ChatMix {
  type: 'chat';
  workClass: string;
  model: string;
  weight: number;
  naming: Naming;
  /** Part of the calls that ask for a stream, from 0 to 1. */
  streamShare: number;
  maxTokens: number;
  /** Words that all prompts of one account and class begin with. */
  sharedPrefixWords: number;
}

/** Calls of a plain service: reads, or entries that may not run twice. */
export interface ServiceMix {
  type: 'read' | 'entry';
  workClass: string;
  service: string;
  /** Path behind the service's name, with a leading slash. */
  path: string;
  weight: number;
  naming: Naming;
}

export type MixItem = ChatMix | ServiceMix;

/** A client account that calls. */
export interface LoadAccount {
  name: string;
  apiKey: string;
  weight: number;
}

/** A router's entry. */
export interface LoadTarget {
  url: string;
  weight: number;
}

/** How a caller behaves once an answer begins. */
export type CallerBehaviour = 'ordinary' | 'slow-reader' | 'hang-up';

/** Options of {@link runLoad}. */
export interface LoadOptions {
  targets: LoadTarget[];
  accounts: LoadAccount[];
  mix: MixItem[];
  /** Mean of the arrivals, which do not wait for answers. */
  ratePerSecond: number;
  /** Time over which requests arrive. */
  seconds: number;
  /** @default 1 */
  seed?: number;
  /** Requests in progress at once; an arrival beyond is counted as not started. @default 500 */
  maxInFlight?: number;
  /** Attempts of one caller, the first included. @default 4 */
  maxAttempts?: number;
  /** Longest wait for one attempt, in milliseconds. @default 30000 */
  timeoutMs?: number;
  /** Longest wait that a caller grants a Retry-After, in milliseconds. @default 3000 */
  maxRetryAfterMs?: number;
  /** Part of the streaming callers that read slowly. @default 0.02 */
  slowReaderShare?: number;
  /** Part of the streaming callers that hang up in the middle. @default 0.02 */
  hangUpShare?: number;
  /** Told the figures so far about once a second. */
  onProgress?: (progress: LoadProgress) => void;
  /** Told how each attempt ended. */
  onAttempt?: (request: PlannedRequest, end: CallEnd) => void;
  /** Ends the arrivals early. */
  signal?: AbortSignal;
}

/** Figures while a run is under way. */
export interface LoadProgress {
  elapsedMs: number;
  requests: number;
  whole: number;
  refused: number;
  inFlight: number;
}

/** One request, drawn before the run from the seed. */
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
  /** Tokens after which a caller hangs up. */
  hangUpAfter: number;
  prompt: string;
}

/** Tokens of an answer as the router reported them. */
export interface ReportedUsage {
  promptTokens: number;
  completionTokens: number;
}

/** How one attempt of a caller ended. */
export type CallEnd =
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

/** Figures of one class of work. */
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

/** What the caller of a non-idempotent request knows in the end. */
export type EntryOutcome = 'entered' | 'not-run' | 'unknown';

/** Something that a caller must never see. */
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
  /** Requests whose final answer is whole and the caller's own. */
  whole: number;
  /** Answers given as complete with a cut, a gap, a repeat or a wrong order. */
  cut: number;
  /** Answers, complete or not, with words that are not the caller's own. */
  mixed: number;
  /** Attempts that ended without a final event and without a refusal. */
  broken: number;
  /** Requests without an answer or a refusal after the last attempt. */
  unanswered: number;
  /** Callers that hung up on purpose. */
  hungUp: number;
  /** Arrivals that the generator could not start; the load was lower than asked for. */
  notStarted: number;
  /** Attempts beyond the first. */
  retries: number;
  /** Requests whose last word was a refusal, by reason. */
  refusals: Record<string, number>;
  classes: Record<string, ClassFigures>;
  accounts: Record<string, AccountFigures>;
  /** Outcome of each non-idempotent request, by its key. */
  entries: Record<string, EntryOutcome>;
  /** The first faults found. */
  faults: AnswerFault[];
}
