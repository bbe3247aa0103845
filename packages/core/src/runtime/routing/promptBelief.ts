/** What this instance believes about cached prompts: its own observations, and else the owner's share. */

import type { EpochMs, ServerId, Tokens } from '../../types/ids.js';
import type { PromptPart } from '../../types/promptPart.js';
import type { ServerIncarnation } from './serverNotices.js';
import { CacheRetention } from './cacheRetention.js';
import { chainKeys } from './promptChain.js';
import { LearnedShare } from './learnedShare.js';
import { PromptCache } from './promptCache.js';

/** How likely the owner has a part that this instance never sent there, before any observation. */
const PRIOR_OWNER_SHARES = { first: 0.9, middle: 0.8, last: 0.1 } as const;
/** The same for other servers: other instances send a prompt there while the owner is busy. */
const PRIOR_OTHER_SHARES = { first: 0.1, middle: 0.05, last: 0.02 } as const;
/** Probabilities from which on and up to which a part is taken for cached or not. */
const SURE_CACHED = 0.8;
const SURE_READ = 0.2;

/** Place of a part in its prompt. The first is shared by most requests, the last often by none. */
type PartPlace = keyof typeof PRIOR_OWNER_SHARES;

/** Whether one part of a prompt is believed to be cached at one server. */
export interface PartBelief {
  tokens: Tokens;
  place: PartPlace;
  probability: number;
  /** Milliseconds since this instance had it read there; undefined if it did not. */
  ageMs: number | undefined;
  isOwner: boolean;
  /** Whether it is almost certain, so that times show how fast the server is. */
  isSure: boolean;
}

type PlaceShares = Readonly<Record<PartPlace, LearnedShare>>;

/**
 * Probabilities that parts of prompts are cached, corrected by what responses show.
 *
 * @example
 * belief.record(server, parts, now);
 * belief.keptTokens(server, parts, false, now + 300); // most of the prompt's tokens
 */
export class PromptBelief {
  readonly #cache = new PromptCache();
  readonly #retention = new CacheRetention();
  readonly #ownerShares = createShares(PRIOR_OWNER_SHARES);
  readonly #otherShares = createShares(PRIOR_OTHER_SHARES);

  /** Number of chains of parts remembered. */
  get size(): number {
    return this.#cache.size;
  }

  /** Mean time for which engines keep an unused part, in milliseconds. */
  get lifetimeMs(): number {
    return this.#retention.lifetimeMs;
  }

  /** Expected number of the prompt's tokens that a server has cached. */
  keptTokens(
    server: ServerIncarnation,
    parts: readonly PromptPart[],
    isOwner: boolean,
    now: EpochMs,
  ): Tokens {
    const beliefs = this.parts(server, parts, isOwner, now);
    return beliefs.reduce((sum, { tokens, probability }) => sum + tokens * probability, 0);
  }

  /** Expected number of the prompt's tokens at a server that is not its owner and got none from here. */
  unseenTokens(parts: readonly PromptPart[]): Tokens {
    let before = 1;
    return parts.reduce((sum, { tokens }, index) => {
      before = Math.min(before, this.#otherShares[placeOf(index, parts.length)].value);
      return sum + tokens * before;
    }, 0);
  }

  /** What is believed of each part; a part counts only as far as those before it do. */
  parts(
    server: ServerIncarnation,
    parts: readonly PromptPart[],
    isOwner: boolean,
    now: EpochMs,
  ): PartBelief[] {
    let before = 1;
    return this.#cache.ages(server, chainKeys(parts), now).map((ageMs, index) => {
      const place = placeOf(index, parts.length);
      const unseen = this.#unseenShare(place, isOwner);
      const alone = ageMs === undefined ? unseen.value : this.#retention.probability(ageMs);
      before = Math.min(before, alone);
      const tokens = parts[index]?.tokens ?? 0;
      // whether others had a first part read there is not known before it has been judged often.
      const isSettled = ageMs !== undefined || place === 'last' || unseen.isLearned;
      const isSure = isSettled && (before >= SURE_CACHED || before <= SURE_READ);
      return { tokens, place, probability: before, ageMs, isOwner, isSure };
    });
  }

  /** Learns whether a part was cached. */
  observe({ place, ageMs, isOwner }: PartBelief, wasKept: boolean): void {
    if (ageMs !== undefined) this.#retention.observe(ageMs, wasKept);
    else this.#unseenShare(place, isOwner).observe(wasKept);
  }

  /** Records that a server has read a prompt. */
  record(server: ServerIncarnation, parts: readonly PromptPart[], now: EpochMs): void {
    this.#cache.record(server, chainKeys(parts), now);
  }

  holders(parts: readonly PromptPart[]): ServerId[] {
    return this.#cache.holders(chainKeys(parts.slice(0, 1)));
  }

  /** Forgets everything about a server, because its process has ended. */
  dropServer(id: ServerId): void {
    this.#cache.dropServer(id);
  }

  #unseenShare(place: PartPlace, isOwner: boolean): LearnedShare {
    return (isOwner ? this.#ownerShares : this.#otherShares)[place];
  }
}

function createShares(priors: Readonly<Record<PartPlace, number>>): PlaceShares {
  return {
    first: new LearnedShare(priors.first),
    middle: new LearnedShare(priors.middle),
    last: new LearnedShare(priors.last),
  };
}

function placeOf(index: number, count: number): PartPlace {
  if (index === count - 1) return 'last';
  return index === 0 ? 'first' : 'middle';
}
