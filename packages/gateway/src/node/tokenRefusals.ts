/** Refusals of requests for missing tokens, and what they say about this instance. */

import type { AccountId, Refusal, Tokens } from '@flamingocourse/core';
import type { GatewayContext } from '../types/context.js';
import type { TokenSource } from '../types/tokenSource.js';
import { notRun } from '@flamingocourse/router';
import { RefusedShare } from '../runtime/refusedShare.js';
import { TokenShortage } from '../runtime/tokenShortage.js';

/** Retry delay in milliseconds for a caller that was refused because no tokens were available. */
const TOKENS_RETRY_MS = 400;
/** Milliseconds that a caller still waits if that is not known. */
const UNKNOWN_LEFT_MS = 0;
/**
 * Milliseconds for which callers are diverted after a request was refused because no source of tokens was
 * reachable. A load balancer that probes each second and needs two failed probes has diverted them by then.
 */
const DIVERT_MS = 3_000;
/** Share of refused requests from which an instance diverts its callers while the deployment adapts to its load. */
const DIVERT_SHARE = 0.5;

/** Why a request was refused for missing tokens. */
export type TokenRefusalReason =
  /** No source answered its last call. */
  | 'away'
  /** All instances together exceed the rate limit of the store. */
  | 'throttled'
  /** A recent answer of the source shows too few tokens. */
  | 'short'
  /** The tokens were requested but did not arrive in time. */
  | 'not-had'
  /** The other instances are not known yet. */
  | 'unknown-fleet';

/** A request that is refused for missing tokens. */
export interface TokenRefusal {
  account: AccountId;
  amount: Tokens;
  why: TokenRefusalReason;
  /** Source that was asked last, or would be asked first. */
  source: TokenSource;
  limit: Tokens;
  /** Whether the configuration, and so the limit, is recent. */
  isLimitFresh: boolean;
  /** When the caller stops waiting for its answer; undefined if that is not known. */
  endsAt: number | undefined;
}

/**
 * Refuses requests, and remembers how many of them.
 *
 * @example
 * refusals.recordOutcome('away', clock.now());
 * return Result.err(refusals.refuse({ account, amount, why: 'away', source, limit, isLimitFresh, endsAt }));
 */
export class TokenRefusals {
  readonly #context: GatewayContext;
  readonly #shortage = new TokenShortage();
  /** Share of requests that were refused because no source of tokens was reachable. */
  readonly #refusedShare = new RefusedShare();
  /** Time of the last refusal because no source of tokens was reachable. */
  #unreachableAt = -Infinity;

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Records how the tokens of a request were had; `why` is undefined if it got them. */
  recordOutcome(why: TokenRefusalReason | undefined, now: number): void {
    this.#refusedShare.record(why === 'away', now);
  }

  /**
   * Whether so many requests are refused that all callers are better sent elsewhere. If all instances are
   * cut off and each sent its callers away for the few accounts without tokens, whole data centres would
   * leave the tokens of the other accounts unused, and the last one would get all requests.
   */
  callForDiversion(now: number): boolean {
    if (now - this.#unreachableAt >= DIVERT_MS) return false;
    return !this.#context.adaptiveLoad.isOn || this.#refusedShare.at(now) >= DIVERT_SHARE;
  }

  /** Logs and counts a refusal, and returns it. */
  refuse({ account, amount, why, source, limit, isLimitFresh, endsAt }: TokenRefusal): Refusal {
    const { clock, log, metrics } = this.#context;
    const now = clock.now();
    const { available, left, ageMs, inDoubt } = source.view(account, limit, now);
    // whether the budget certainly cannot cover the amount, wherever the remaining tokens are held.
    // Spending only grows, so older information proves this too. The configuration must be recent,
    // however, because an instance that is cut off from the store may not know of a raised limit.
    const usedUp = isLimitFresh && (amount > limit || (left !== undefined && left < amount));
    if (why === 'away' && !usedUp) this.#unreachableAt = now;
    metrics.prepaidRefused(account, usedUp ? 'used-up' : why);
    log.write('prepaid-refused', {
      account,
      amount,
      why,
      source: source.name,
      free: source.free(account),
      held: source.held(account),
      available,
      left,
      limit: Number.isFinite(limit) ? limit : undefined,
      inDoubt,
      pageAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      usedUp,
    });
    if (usedUp) {
      return notRun('budget-exhausted', 'The prepaid budget does not cover this request.');
    }
    const detail = 'The tokens to cover this request cannot be had here now; retry soon.';
    return notRun('budget-unreachable', detail, this.#retryAfterMs(why, endsAt, now));
  }

  #retryAfterMs(why: TokenRefusalReason, endsAt: number | undefined, now: number): number {
    const { adaptiveLoad, random } = this.#context;
    if (!adaptiveLoad.isOn) return TOKENS_RETRY_MS;
    const leftMs = endsAt === undefined ? UNKNOWN_LEFT_MS : endsAt - now;
    const isAway = why === 'away';
    return this.#shortage.retryAfterMs({ isAway, leftMs, random: random() }, now);
  }
}
