/**
 * How much of a budget a data centre and a router should hold. The policy changes who is served
 * when tokens are short or a data centre is cut off; it never changes what may be spent.
 */

import type { DeploymentPolicy, Importance } from '../types/declaration.js';
import type { Tokens } from '../types/ids.js';

/** What a data centre's level is decided from. */
export interface GrantSituation {
  demandPerSecond: number;
  rideThroughSeconds: number;
  /** Limit less all spend known: what the whole fleet can still use. */
  remaining: Tokens;
  /** Data centres that share the budget, this one included. */
  dataCentres: number;
  /** Tokens that waiting requests lack now. */
  shortfall: Tokens;
}

/** What a router's level is decided from. */
export interface SliceSituation {
  demandPerSecond: number;
  /** The pool and this router's own free tokens. */
  available: Tokens;
  /** Routers of the data centre, this one included. */
  routers: number;
  /** Tokens that waiting requests lack now. */
  shortfall: Tokens;
}

/** Level below which a single request would have to wait for a refill. */
const MIN_LEVEL: Tokens = 4_096;

/** Sizing by what the deployment weighs more. */
export abstract class SlicePolicy {
  /** Seconds of demand that a router holds. */
  protected abstract readonly sliceSeconds: number;
  /** Part of an even share of the rest that one holder may have without need. */
  protected abstract readonly evenPart: number;
  /** Part of the limit kept for requests of importance `first`. */
  protected abstract readonly firstPart: number;

  /** Unspent tokens that a data centre should hold. */
  grantTarget(situation: GrantSituation): Tokens {
    const wanted = situation.demandPerSecond * situation.rideThroughSeconds;
    const even = (situation.remaining * this.evenPart) / Math.max(1, situation.dataCentres);
    const level = Math.min(Math.max(wanted, MIN_LEVEL), even);
    return wholeTokens(Math.max(level, situation.shortfall), situation.remaining);
  }

  /** Free tokens that a router should hold. */
  sliceTarget(situation: SliceSituation): Tokens {
    const wanted = situation.demandPerSecond * this.sliceSeconds;
    const even = (situation.available * this.evenPart) / Math.max(1, situation.routers);
    const level = Math.min(Math.max(wanted, MIN_LEVEL), even);
    return wholeTokens(Math.max(level, situation.shortfall), situation.available);
  }

  /** Remaining tokens below which a request of this importance is refused. */
  floor(importance: Importance, limit: Tokens): Tokens {
    switch (importance) {
      case 'first':
        return 0;
      case 'standard':
        return Math.floor((limit * this.firstPart) / 2);
      case 'background':
        return Math.floor(limit * this.firstPart);
    }
  }
}

/** Little in doubt at any time: small slices, and half of the rest stays in the ledger. */
class AvoidOverspend extends SlicePolicy {
  protected override readonly sliceSeconds = 2;
  protected override readonly evenPart = 0.5;
  protected override readonly firstPart = 0.02;
}

/** Long service when cut off: larger slices, nearly all of the rest stands near its use. */
class AvoidFalseRefusals extends SlicePolicy {
  protected override readonly sliceSeconds = 5;
  protected override readonly evenPart = 0.9;
  protected override readonly firstPart = 0.1;
}

/**
 * Finds the sizing for a deployment's policy.
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

function wholeTokens(level: number, most: Tokens): Tokens {
  return Math.max(0, Math.floor(Math.min(level, most)));
}
