/** Cached prompts of one lane: what is known about them, and from where they are copied. */

import type {
  BackendServer,
  Candidate,
  CheapestChooser,
  ChoiceRequest,
  EpochMs,
  PlacementPlan,
  PromptPlacement,
  PromptReading,
  ServerId,
  ServerPool,
} from '@flamingocourse/core';
import type { PlacementRequest } from '../../types/backends.js';
import { PromptLocations, PromptRun, hash32 } from '@flamingocourse/core';

/** What weighs cached prompts against waits. */
export interface WeighedPrompts {
  costs: PromptPlacement;
  chooser: CheapestChooser;
  /** Whether they are weighed now. */
  isOn(): boolean;
}

/** The prompt of one attempt at its server. */
export interface PlacedPrompt {
  /** Server from which the cached parts are copied. */
  source: BackendServer | undefined;
  /** What the server was chosen by; undefined if cached prompts are not weighed. */
  plan?: PlacementPlan;
  recordSent(now: EpochMs): void;
  recordFirstEvent(now: EpochMs): PromptReading | undefined;
  end(): void;
}

/**
 * Prompts of one lane.
 *
 * @example
 * const prompts = new LanePrompts(pool, { costs, chooser, isOn });
 * const choice = prompts.choiceOf(request, now);
 */
export class LanePrompts {
  readonly #pool: ServerPool;
  readonly #weighed: WeighedPrompts | undefined;
  readonly #locations = new PromptLocations();

  constructor(pool: ServerPool, weighed: WeighedPrompts | undefined) {
    this.#pool = pool;
    this.#weighed = weighed;
  }

  /** Properties of a request by which its server is chosen. */
  choiceOf(request: PlacementRequest, now: EpochMs): ChoiceRequest {
    const { prefixKey, promptTokens, promptParts, tried, bounds } = request;
    const choice = {
      ...(prefixKey === undefined ? {} : { prefixHash: hash32(prefixKey) }),
      ...(promptTokens === undefined ? {} : { promptTokens }),
    };
    if (!this.#weighed?.isOn() || promptParts === undefined) return choice;
    const owner = this.#owner(request, now);
    return { ...choice, parts: promptParts, tried, bounds, owner, now };
  }

  /** Decides from where the prompt is copied, and follows it to its first event. */
  place(
    chosen: Candidate,
    server: BackendServer,
    request: PlacementRequest,
    now: EpochMs,
  ): PlacedPrompt {
    const { promptTokens, promptParts, tried, bounds } = request;
    if (!this.#weighed?.isOn() || promptParts === undefined || promptTokens === undefined) {
      return { ...unweighed, source: this.#findSource(server, request, now) };
    }
    const { costs, chooser } = this.#weighed;
    const owner = this.#owner(request, now);
    const query = { parts: promptParts, promptTokens, owner, tried, bounds };
    // a server that was not chosen by its cost, such as one with a rate limit, has no plan yet.
    const plan = chooser.planOf(chosen) ?? costs.plan(chosen, costs.prepare(query, now), now);
    const run = new PromptRun(costs, { candidate: chosen, server, query, plan }, now);
    return {
      source: plan.copyFrom === undefined ? undefined : this.#pool.server(plan.copyFrom),
      plan,
      recordSent: (at) => {
        run.recordSent(at);
      },
      recordFirstEvent: (at) => run.firstEvent(at),
      end: () => {
        run.end();
      },
    };
  }

  /** Records that a server has read a prompt. */
  recordRead({ prefixKey }: PlacementRequest, server: ServerId): void {
    if (prefixKey !== undefined) this.#locations.record(prefixKey, server);
  }

  /** Forgets what a server had cached, because its process has ended. */
  dropServer(id: ServerId): void {
    this.#weighed?.costs.belief.dropServer(id);
  }

  /** The server that all instances prefer for a prompt, whether or not it has room. */
  #owner({ prefixKey, bounds }: PlacementRequest, now: EpochMs): ServerId | undefined {
    if (prefixKey === undefined) return undefined;
    return this.#pool.likelyPromptServer(hash32(prefixKey), new Set(), now, bounds)?.id;
  }

  /**
   * Finds a server from which another server can copy a prompt instead of reading it: the server
   * that last read it for this instance, or else the server that all instances prefer for it.
   */
  #findSource(
    { id }: BackendServer,
    { prefixKey, tried, bounds }: PlacementRequest,
    now: EpochMs,
  ): BackendServer | undefined {
    if (prefixKey === undefined) return undefined;
    const known = this.#locations.find(prefixKey);
    if (known === id) return undefined;
    // A server that just failed this request may be down, and the copy would wait for it.
    if (
      known !== undefined &&
      !tried.includes(known) &&
      this.#pool.canCopyFrom(known, now, bounds)
    ) {
      return this.#pool.server(known);
    }
    const except = new Set([id, ...tried]);
    return this.#pool.likelyPromptServer(hash32(prefixKey), except, now, bounds);
  }
}

const unweighed = {
  recordSent: (): void => undefined,
  recordFirstEvent: (): undefined => undefined,
  end: (): void => undefined,
};
