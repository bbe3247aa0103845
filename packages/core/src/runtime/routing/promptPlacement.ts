/** Compares engines for a generation: what they are believed to have cached, and what the rest costs. */

import type { EpochMs, ServerId, Tokens } from '../../types/ids.js';
import type { Candidate, ServerBounds } from '../../types/placement.js';
import type { EngineTerms, PlacementCost, PlacementPlan } from '../../types/placementCost.js';
import type { PromptPart } from '../../types/promptPart.js';
import type { ServerIncarnation } from './serverNotices.js';
import { LearnedShare } from './learnedShare.js';
import { PromptBelief } from './promptBelief.js';
import { placementSum, withCopy } from './placementSum.js';
import { ReadingSpeed } from './readingSpeed.js';
import { UnreadTokens } from './unreadTokens.js';
import { UsualWaits } from './usualWaits.js';

/** Tokens of a running request assumed before the first one. */
const USUAL_REQUEST_TOKENS = 2_000;
/** Weight of one request in the mean of tokens. */
const REQUEST_WEIGHT = 0.05;
/** Share of evicted tokens that are read again, assumed before the first observation. */
const PRIOR_REUSE = 0.3;

/** A generation that needs a server. */
export interface PromptQuery {
  parts: readonly PromptPart[];
  promptTokens: Tokens;
  /** Server that all instances prefer for the prompt. */
  owner?: ServerId | undefined;
  /** Servers that this request has tried, which are no source of a copy. */
  tried?: readonly ServerId[] | undefined;
  /** Servers that may run it; no other is the source of a copy. @default any */
  bounds?: ServerBounds | undefined;
}

/** A prompt with what is believed about it. */
export interface PreparedPrompt {
  query: PromptQuery;
  /** Tokens kept at the owner and where this instance had the prompt read. */
  kept: ReadonlyMap<ServerId, Tokens>;
  /** The most of them. */
  keptAnywhere: Tokens;
  /** Tokens kept at any other server. */
  keptElsewhere: Tokens;
}

/** What the comparison needs to know about servers. */
export interface PromptServers {
  /** The process listed under an id, with its data centre. */
  server(id: ServerId): (ServerIncarnation & { dataCentre: string }) | undefined;
  /** Whether cached parts can be copied from a server now. */
  canCopyFrom(id: ServerId, now: EpochMs, bounds?: ServerBounds): boolean;
}

/**
 * Sums for the engines of one service, from what this instance has learned about them.
 *
 * @example
 * const costs = new PromptPlacement(servers, () => ({ copiesPrompts: true }));
 * const prompt = costs.prepare({ parts, promptTokens: 7_200, owner }, now);
 * const { cost, copyFrom } = costs.plan(candidate, prompt, now);
 */
export class PromptPlacement {
  readonly belief = new PromptBelief();
  readonly speed = new ReadingSpeed();
  readonly waits = new UsualWaits();
  readonly unread = new UnreadTokens();
  /** How often tokens of prompts are found in a cache, which tells whether evicted ones are missed. */
  readonly reuse = new LearnedShare(PRIOR_REUSE);
  readonly #servers: PromptServers;
  readonly #terms: () => EngineTerms;
  #requestTokens = USUAL_REQUEST_TOKENS;

  constructor(servers: PromptServers, terms: () => EngineTerms) {
    this.#servers = servers;
    this.#terms = terms;
  }

  /** What is believed about a prompt now, to compare servers for it. */
  prepare(query: PromptQuery, now: EpochMs): PreparedPrompt {
    const { owner } = query;
    const known = new Set([...this.holders(query), ...(owner === undefined ? [] : [owner])]);
    const kept = new Map([...known].map((id) => [id, this.#keptTokens(id, query, now)]));
    const shared = query.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
    const keptAnywhere = Math.max(shared, ...kept.values());
    return { query, kept, keptAnywhere, keptElsewhere: this.#keptUnseen(query) };
  }

  /** What a placement at a server costs, with a copy if that is cheaper than reading. */
  plan(candidate: Candidate, prompt: PreparedPrompt, now: EpochMs): PlacementPlan {
    const ownTokens = prompt.kept.get(candidate.id) ?? prompt.keptElsewhere;
    const cost = this.#cost(candidate, prompt, ownTokens, now);
    const terms = this.#terms();
    let best: PlacementPlan = { cost, copiedTokens: 0 };
    if (!terms.copiesPrompts || cost.readMs === 0) return best;
    for (const [source, keptTokens] of prompt.kept) {
      if (!this.#isSource(source, candidate.id, prompt.query, now)) continue;
      const after = this.#cost(candidate, prompt, Math.max(ownTokens, keptTokens), now);
      const crosses = this.#dataCentre(source) !== this.#dataCentre(candidate.id);
      const copied = withCopy(cost, after, terms, crosses);
      if (!copied || copied.totalMs >= best.cost.totalMs) continue;
      best = { cost: copied, copyFrom: source, copiedTokens: keptTokens - ownTokens };
    }
    return best;
  }

  /** Servers where this instance had the first part of a prompt read. */
  holders({ parts }: PromptQuery): ServerId[] {
    return this.belief.holders(parts);
  }

  /** The process listed under an id. */
  server(id: ServerId): ServerIncarnation | undefined {
    return this.#servers.server(id);
  }

  /** Records the size of a request that is placed. */
  recordSize(promptTokens: Tokens): void {
    this.#requestTokens += REQUEST_WEIGHT * (promptTokens - this.#requestTokens);
  }

  #cost(
    candidate: Candidate,
    prompt: PreparedPrompt,
    keptTokens: Tokens,
    now: EpochMs,
  ): PlacementCost {
    const { id, load, capacity, local, slowdown } = candidate;
    const { promptTokens } = prompt.query;
    return placementSum({
      server: id,
      promptTokens,
      keptTokens,
      keptAnywhere: id === prompt.query.owner ? 0 : prompt.keptAnywhere,
      usualTokensPerMs: this.speed.usual,
      tokensPerMs: this.speed.ofServer(id),
      slowdown,
      waitMs: this.waits.at(load / capacity),
      aheadTokens: this.unread.at(id, now),
      local,
      runningTokens: load * this.#requestTokens,
      memoryTokens: this.#terms().memoryTokens,
      reuseShare: this.reuse.value,
    });
  }

  #keptTokens(id: ServerId, query: PromptQuery, now: EpochMs): Tokens {
    const server = this.#servers.server(id);
    if (!server) return 0;
    const kept = this.belief.keptTokens(server, query.parts, id === query.owner, now);
    return Math.min(query.promptTokens, kept);
  }

  /** Tokens that a server keeps of which this instance knows nothing, because others had them read. */
  #keptUnseen({ parts, promptTokens }: PromptQuery): Tokens {
    return Math.min(promptTokens, this.belief.unseenTokens(parts));
  }

  #isSource(id: ServerId, target: ServerId, query: PromptQuery, now: EpochMs): boolean {
    const { tried = [], bounds } = query;
    // a server that just failed this request may be down, and the copy would wait for it.
    return id !== target && !tried.includes(id) && this.#servers.canCopyFrom(id, now, bounds);
  }

  #dataCentre(id: ServerId): string | undefined {
    return this.#servers.server(id)?.dataCentre;
  }
}
