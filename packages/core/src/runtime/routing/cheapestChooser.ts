/** Chooses the engine at which a generation costs the least time. */

import type { Candidate, RandomSource } from '../../types/placement.js';
import type { PlacementPlan } from '../../types/placementCost.js';
import type { ChoiceRequest } from './serverChooser.js';
import type { PreparedPrompt, PromptPlacement } from './promptPlacement.js';
import { rendezvousRank } from '../../utils/hash.js';
import { ServerChooser } from './serverChooser.js';

/**
 * Engines drawn at random and compared with those that may have the prompt. Instances that see the
 * same loads draw different ones, so the idlest engine does not get all requests at once.
 */
const DRAWN = 4;
/** Sums closer than this count as equal: loads are some hundred milliseconds old. */
const TIE_MS = 3;

type Candidates = readonly [Candidate, ...Candidate[]];

/**
 * Compares the owner of the prompt, the engines where this instance had it read, and a few others, and
 * takes the least sum.
 *
 * @example
 * const chooser = new CheapestChooser(costs, usualChooser);
 * const candidate = chooser.pick(candidates, { parts, promptTokens, prefixHash, now }, random);
 */
export class CheapestChooser extends ServerChooser {
  override readonly name = 'cheapest';
  readonly #costs: PromptPlacement;
  readonly #fallback: ServerChooser;
  /** What each choice was based on. */
  readonly #plans = new WeakMap<Candidate, PlacementPlan>();

  /** @param fallback used for requests without a prompt. */
  constructor(costs: PromptPlacement, fallback: ServerChooser) {
    super();
    this.#costs = costs;
    this.#fallback = fallback;
  }

  override pick(candidates: Candidates, request: ChoiceRequest, random: RandomSource): Candidate {
    const { now, promptTokens, parts = [] } = request;
    if (now === undefined || promptTokens === undefined) {
      return this.#fallback.pick(candidates, request, random);
    }
    const owner = request.owner ?? ownerOf(candidates, request)?.id;
    const query = { parts, promptTokens, owner, tried: request.tried, bounds: request.bounds };
    const prompt = this.#costs.prepare(query, now);
    const compared = compare(candidates, prompt, random).map((candidate) => {
      return { candidate, plan: this.#costs.plan(candidate, prompt, now) };
    });
    const least = Math.min(...compared.map(({ plan }) => plan.cost.totalMs));
    const tied = compared.filter(({ plan }) => plan.cost.totalMs <= least + TIE_MS);
    const best = tied.find(({ candidate }) => candidate.id === owner) ?? drawn(tied, random);
    if (!best) return candidates[0];
    const ownerCost = compared.find(({ candidate }) => candidate.id === owner)?.plan.cost;
    this.#plans.set(best.candidate, { ...best.plan, ownerCost });
    return best.candidate;
  }

  /** What the choice of a candidate was based on; undefined if it was chosen otherwise. */
  planOf(candidate: Candidate): PlacementPlan | undefined {
    return this.#plans.get(candidate);
  }
}

/** Uses one chooser while a condition holds, and another one otherwise. */
export class SwitchedChooser extends ServerChooser {
  readonly #isOn: () => boolean;
  readonly #whenOn: ServerChooser;
  readonly #whenOff: ServerChooser;

  constructor(isOn: () => boolean, whenOn: ServerChooser, whenOff: ServerChooser) {
    super();
    this.#isOn = isOn;
    this.#whenOn = whenOn;
    this.#whenOff = whenOff;
  }

  override get name(): ServerChooser['name'] {
    return this.#current.name;
  }

  override pick(candidates: Candidates, request: ChoiceRequest, random: RandomSource): Candidate {
    return this.#current.pick(candidates, request, random);
  }

  get #current(): ServerChooser {
    return this.#isOn() ? this.#whenOn : this.#whenOff;
  }
}

function ownerOf(candidates: Candidates, { prefixHash }: ChoiceRequest): Candidate | undefined {
  if (prefixHash === undefined) return undefined;
  const rank = ({ idHash }: Candidate): number => rendezvousRank(prefixHash, idHash);
  return candidates.reduce((best, next) => (rank(next) > rank(best) ? next : best));
}

function drawn<T>(items: readonly T[], random: RandomSource): T | undefined {
  return items[Math.floor(random() * items.length)] ?? items[0];
}

function compare(
  candidates: Candidates,
  { kept }: PreparedPrompt,
  random: RandomSource,
): Candidate[] {
  const likely = candidates.filter(({ id }) => kept.has(id));
  const others = candidates.filter(({ id }) => !kept.has(id));
  const first = Math.floor(random() * others.length);
  const step = Math.max(1, Math.floor(others.length / DRAWN));
  const draws = Array.from({ length: Math.min(DRAWN, others.length) }, (_, i) => {
    return others[(first + i * step) % others.length] ?? candidates[0];
  });
  return [...likely, ...draws];
}
