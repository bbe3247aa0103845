/** One generation at one engine, from its placement to its first event. */

import type { EpochMs, Tokens } from '../../types/ids.js';
import type { Candidate } from '../../types/placement.js';
import type { PlacementPlan, PromptReading } from '../../types/placementCost.js';
import type { PartBelief } from './promptBelief.js';
import type { PromptPlacement, PromptQuery } from './promptPlacement.js';
import type { ServerIncarnation } from './serverNotices.js';
import { boundedSlowdown } from './placementSum.js';

/** Probability from which on a part that was read counts as a wrong estimate. */
const BELIEVED = 0.5;
/**
 * A response that took longer than this multiple of reading the whole prompt was delayed by something
 * else, so it does not show what was cached.
 */
const DELAYED_FACTOR = 1.4;

/**
 * Learns from the first event of a generation: whether estimates were right, how fast the engine
 * reads and how long requests wait there.
 *
 * @example
 * const run = new PromptRun(costs, { candidate, server, query, plan }, now);
 * run.recordSent(now);
 * const reading = run.firstEvent(now + 140);
 * run.end();
 */
export class PromptRun {
  readonly #costs: PromptPlacement;
  readonly #query: PromptQuery;
  readonly #server: ServerIncarnation;
  readonly #plan: PlacementPlan;
  readonly #beliefs: PartBelief[];
  readonly #utilisation: number;
  readonly #msPerToken: number;
  readonly #slowdown: number;
  readonly #aheadMs: number;
  readonly #removeUnread: () => void;
  #sentAt: EpochMs;
  #hasBegun = false;

  constructor(
    costs: PromptPlacement,
    placed: {
      candidate: Candidate;
      server: ServerIncarnation;
      query: PromptQuery;
      plan: PlacementPlan;
    },
    now: EpochMs,
  ) {
    const { candidate, server, query, plan } = placed;
    const { id, load, capacity } = candidate;
    this.#costs = costs;
    this.#query = query;
    this.#server = server;
    this.#plan = plan;
    this.#sentAt = now;
    this.#beliefs = costs.belief.parts(server, query.parts, id === query.owner, now);
    this.#utilisation = load / capacity;
    this.#slowdown = boundedSlowdown(candidate.slowdown);
    this.#msPerToken = this.#slowdown / costs.speed.ofServer(id);
    this.#aheadMs = costs.unread.at(id, now) * this.#msPerToken;
    const unread = Math.max(0, query.promptTokens - plan.cost.keptTokens - plan.copiedTokens);
    this.#removeUnread = costs.unread.add(id, unread, now);
    costs.recordSize(query.promptTokens);
  }

  /** Records that the request was written to its connection. */
  recordSent(now: EpochMs): void {
    this.#sentAt = now;
  }

  /** Records the first event, after which the engine has read the whole prompt. */
  firstEvent(now: EpochMs): PromptReading | undefined {
    if (this.#hasBegun) return undefined;
    this.#hasBegun = true;
    this.#removeUnread();
    const reading = this.#judge(now - this.#sentAt);
    this.#costs.belief.record(this.#server, this.#query.parts, now);
    return reading;
  }

  /** Ends the run, with or without an event. */
  end(): void {
    this.#removeUnread();
  }

  #judge(tookMs: number): PromptReading {
    // how long a copy took is not known, so nothing else can be learned from the time.
    if (this.#plan.copyFrom !== undefined) return this.#believed(this.#plan.copiedTokens);
    const waitedMs = this.#costs.waits.at(this.#utilisation) * this.#slowdown + this.#aheadMs;
    this.#learnTimes(tookMs);
    const spreadMs = this.#costs.waits.spreadAt(this.#utilisation) * this.#slowdown;
    const wholeMs = this.#query.promptTokens * this.#msPerToken;
    const wasDelayed = tookMs - waitedMs > DELAYED_FACTOR * wholeMs + spreadMs;
    if (wasDelayed || !this.#costs.speed.isLearned) return this.#believed(0);
    return this.#judgeParts(tookMs - waitedMs, spreadMs);
  }

  /** Judges each part by the tokens that can't have been read in the time. */
  #judgeParts(readingMs: number, spreadMs: number): PromptReading {
    const { promptTokens } = this.#query;
    const unreadTokens = promptTokens - Math.max(0, readingMs) / this.#msPerToken;
    let endsAt = 0;
    let foundTokens = 0;
    let wrongParts = 0;
    for (const belief of this.#beliefs) {
      const { tokens, probability } = belief;
      endsAt += tokens;
      const isBelieved = probability >= BELIEVED;
      const canJudge = tokens * this.#msPerToken > 2 * spreadMs;
      const wasKept = canJudge ? unreadTokens >= endsAt - tokens / 2 : isBelieved;
      if (canJudge) this.#costs.belief.observe(belief, wasKept);
      if (isBelieved && !wasKept) wrongParts += 1;
      if (wasKept && foundTokens === endsAt - tokens) foundTokens += tokens;
    }
    this.#costs.reuse.observe(foundTokens * 2 > promptTokens);
    return { ...this.#split(foundTokens, 0), wrongParts };
  }

  #learnTimes(tookMs: number): void {
    if (!this.#beliefs.every(({ isSure }) => isSure)) return;
    const { foundTokens } = this.#believed(0);
    const tokens = Math.max(0, this.#query.promptTokens - foundTokens);
    const { speed, waits } = this.#costs;
    const readMs = tokens * this.#msPerToken;
    // a wait is not subtracted: it is learned from what the speed leaves unexplained.
    speed.observe(this.#server.id, tokens, (tookMs - this.#aheadMs) / this.#slowdown);
    if (speed.isLearned) {
      waits.observe(this.#utilisation, (tookMs - readMs - this.#aheadMs) / this.#slowdown);
    }
  }

  #believed(copiedTokens: Tokens): PromptReading {
    const found = this.#beliefs
      .filter(({ probability }) => probability >= BELIEVED)
      .reduce((sum, { tokens }) => sum + tokens, 0);
    return this.#split(found, copiedTokens);
  }

  #split(found: Tokens, copied: Tokens): PromptReading {
    const { promptTokens } = this.#query;
    const foundTokens = Math.min(promptTokens, Math.round(found));
    const copiedTokens = Math.min(promptTokens - foundTokens, Math.round(copied));
    const readTokens = promptTokens - foundTokens - copiedTokens;
    return { foundTokens, copiedTokens, readTokens, wrongParts: 0 };
  }
}
