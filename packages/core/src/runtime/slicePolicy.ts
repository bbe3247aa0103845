/**
 * Decides how many tokens of a budget a data centre and a router should hold. The policy affects
 * who is served when tokens are short or a data centre is disconnected. It never affects how much
 * may be spent.
 */

import type { DeploymentPolicy, Importance } from '../types/declaration.js';
import type { Tokens } from '../types/ids.js';

/** Input for the target of a data centre. */
export interface GrantSizingInput {
  demandPerSecond: number;
  rideThroughSeconds: number;
  /** Limit minus all known spend: tokens that the whole fleet can still use. */
  remaining: Tokens;
  /** Number of data centres that share the budget, including this one. */
  dataCentres: number;
  /** Tokens that waiting requests need beyond those available now. */
  shortfall: Tokens;
}

/** Input for the target of a router. */
export interface SliceSizingInput {
  demandPerSecond: number;
  /** Tokens in the pool plus this router's own free tokens. */
  available: Tokens;
  /** Number of routers in the data centre, including this one. */
  routers: number;
  /** Tokens that waiting requests need beyond those available now. */
  shortfall: Tokens;
}

/** Minimum target. With fewer tokens, a single request would have to wait for a refill. */
const MIN_TARGET: Tokens = 4_096;

/** Sizing of grants and slices; a subclass for each deployment policy sets the parameters. */
export abstract class SlicePolicy {
  /** Demand that a router holds tokens for, in seconds. */
  protected abstract readonly sliceSeconds: number;
  /**
   * Upper bound of a target as a fraction of an even share of the remaining tokens. Only a
   * shortfall of waiting requests raises a target above it.
   */
  protected abstract readonly evenShareFraction: number;
  /** Fraction of the limit that is reserved for requests of importance `first`. */
  protected abstract readonly reservedFraction: number;

  /** Unspent tokens that a data centre should hold. */
  grantTarget(input: GrantSizingInput): Tokens {
    const wanted = input.demandPerSecond * input.rideThroughSeconds;
    const even = (input.remaining * this.evenShareFraction) / Math.max(1, input.dataCentres);
    const target = Math.min(Math.max(wanted, MIN_TARGET), even);
    return wholeTokens(Math.max(target, input.shortfall), input.remaining);
  }

  /** Free tokens that a router should hold. */
  sliceTarget(input: SliceSizingInput): Tokens {
    const wanted = input.demandPerSecond * this.sliceSeconds;
    const even = (input.available * this.evenShareFraction) / Math.max(1, input.routers);
    const target = Math.min(Math.max(wanted, MIN_TARGET), even);
    return wholeTokens(Math.max(target, input.shortfall), input.available);
  }

  /** Remaining tokens below which a request of this importance is refused. */
  floor(importance: Importance, limit: Tokens): Tokens {
    switch (importance) {
      case 'first':
        return 0;
      case 'standard':
        return Math.floor((limit * this.reservedFraction) / 2);
      case 'background':
        return Math.floor(limit * this.reservedFraction);
    }
  }
}

/** Keeps few tokens in doubt: small slices, and half of the remaining tokens stay in the ledger. */
class AvoidOverspend extends SlicePolicy {
  protected override readonly sliceSeconds = 2;
  protected override readonly evenShareFraction = 0.5;
  protected override readonly reservedFraction = 0.02;
}

/**
 * Serves longer while disconnected: larger slices, and nearly all remaining tokens are granted to
 * the data centres that use them.
 */
class AvoidFalseRefusals extends SlicePolicy {
  protected override readonly sliceSeconds = 5;
  protected override readonly evenShareFraction = 0.9;
  protected override readonly reservedFraction = 0.1;
}

/**
 * Creates the sizing for a deployment's policy.
 *
 * @example
 * createSlicePolicy('avoid-false-refusals').floor('background', 1_000); // 100
 */
export function createSlicePolicy(policy: DeploymentPolicy): SlicePolicy {
  switch (policy) {
    case 'avoid-overspend':
      return new AvoidOverspend();
    case 'avoid-false-refusals':
      return new AvoidFalseRefusals();
  }
}

function wholeTokens(target: number, max: Tokens): Tokens {
  return Math.max(0, Math.floor(Math.min(target, max)));
}
