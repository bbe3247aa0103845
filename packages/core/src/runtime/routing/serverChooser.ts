/** Chooses one backend server among those with free capacity. */

import type { EpochMs, ServerId, Tokens } from '../../types/ids.js';
import type { PromptPart } from '../../types/promptPart.js';
import type {
  Candidate,
  CandidateQuery,
  PlacementScope,
  RandomSource,
  ServerBounds,
} from '../../types/placement.js';
import type { ServerPool } from './serverPool.js';
import { rendezvousRank } from '../../utils/hash.js';
import { isLongPrompt } from './promptLength.js';

/** Properties of a request that affect the choice of its server. */
export interface ChoiceRequest {
  /** Hash of the first part of the prompt; requests with equal hashes share cached state. */
  prefixHash?: number;
  /** Number of tokens in the prompt. */
  promptTokens?: Tokens;
  /** Parts of the prompt, in order. */
  parts?: readonly PromptPart[];
  /** Server that all instances prefer for the prompt. @default the candidate with the prefix's hash */
  owner?: ServerId | undefined;
  /** Servers that the request has tried. */
  tried?: readonly ServerId[];
  /** Servers that may run it. */
  bounds?: ServerBounds | undefined;
  /** Present time; choosers that weigh cached prompts need it. */
  now?: EpochMs;
}

export type ServerChooserName =
  'random' | 'round-robin' | 'least-loaded' | 'power-of-two' | 'prefix-affinity';

/** Name of a chooser, including those that need more than a name to be created. */
export type ChooserKind = ServerChooserName | 'cheapest';

/** Strategy that picks a server from at least one candidate. */
export abstract class ServerChooser {
  abstract readonly name: ChooserKind;

  /** Which data centres are considered; undefined leaves it to the query. */
  scope?(candidates: readonly Candidate[]): PlacementScope | undefined;

  abstract pick(
    candidates: readonly [Candidate, ...Candidate[]],
    request: ChoiceRequest,
    random: RandomSource,
  ): Candidate;
}

/** Picks any server with equal probability. */
export class RandomChooser extends ServerChooser {
  override readonly name = 'random';

  override pick(
    candidates: readonly [Candidate, ...Candidate[]],
    _request: ChoiceRequest,
    random: RandomSource,
  ): Candidate {
    return candidates[Math.floor(random() * candidates.length)] ?? candidates[0];
  }
}

/** Picks each server in turn. */
export class RoundRobinChooser extends ServerChooser {
  override readonly name = 'round-robin';
  #turn = 0;

  override pick(candidates: readonly [Candidate, ...Candidate[]]): Candidate {
    this.#turn += 1;
    return candidates[this.#turn % candidates.length] ?? candidates[0];
  }
}

/** Picks the server with the lowest load relative to its capacity. */
export class LeastLoadedChooser extends ServerChooser {
  override readonly name = 'least-loaded';

  override pick(candidates: readonly [Candidate, ...Candidate[]]): Candidate {
    return candidates.reduce((best, next) => (utilisation(next) < utilisation(best) ? next : best));
  }
}

/** Picks the less loaded of two random servers; avoids herding when load reports are delayed. */
export class PowerOfTwoChooser extends ServerChooser {
  override readonly name = 'power-of-two';

  override pick(
    candidates: readonly [Candidate, ...Candidate[]],
    _request: ChoiceRequest,
    random: RandomSource,
  ): Candidate {
    const count = candidates.length;
    const first = Math.floor(random() * count);
    const step = 1 + Math.floor(random() * (count - 1));
    const a = candidates[first] ?? candidates[0];
    const b = candidates[(first + step) % count] ?? candidates[0];
    return utilisation(b) < utilisation(a) ? b : a;
  }
}

/** Maximum load, as a multiple of the mean, at which a prefix stays at its server. */
const DEFAULT_LOAD_BOUND = 1.25;

/**
 * Picks the server that owns the prompt's prefix by rendezvous hashing, to use its cache. If the
 * load of that server exceeds `bound` times the mean, falls back to power of two choices.
 */
export class PrefixAffinityChooser extends ServerChooser {
  override readonly name = 'prefix-affinity';
  readonly #bound: number;
  readonly #fallback = new PowerOfTwoChooser();

  constructor(bound = DEFAULT_LOAD_BOUND) {
    super();
    this.#bound = bound;
  }

  override pick(
    candidates: readonly [Candidate, ...Candidate[]],
    request: ChoiceRequest,
    random: RandomSource,
  ): Candidate {
    const { prefixHash } = request;
    if (prefixHash === undefined) return this.#fallback.pick(candidates, request, random);
    const owner = candidates.reduce((best, next) =>
      affinity(prefixHash, next) > affinity(prefixHash, best) ? next : best,
    );
    const mean = candidates.reduce((sum, next) => sum + utilisation(next), 0) / candidates.length;
    // always allow one more request: otherwise an idle fleet would ignore its caches.
    const limit = this.#bound * mean + 1 / owner.capacity;
    if (utilisation(owner) <= limit) return owner;
    return this.#fallback.pick(candidates, request, random);
  }
}

/**
 * Chooses a server for a request: one of the local data centre, or another if those have no
 * capacity. Returns `undefined` if no server has capacity; the request then waits in the admission
 * queue.
 *
 * @example
 * const server = chooseServer(pool, chooser, { prefixHash }, { tried }, now, random);
 */
export function chooseServer(
  pool: ServerPool,
  chooser: ServerChooser,
  request: ChoiceRequest,
  query: CandidateQuery,
  now: number,
  random: RandomSource,
): Candidate | undefined {
  const candidates = pool.candidates(query, now);
  // if a due send waited for a request that hashing or load would bring to this server, it would
  // expire unused. Long prompts are excluded: they cost the most where their prefix is not cached.
  const due = candidates.find((candidate) => candidate.isDue);
  if (due && !isLongPrompt(request)) return due;
  const local = candidates.filter((candidate) => candidate.local);
  const scope = chooser.scope?.(candidates) ?? query.scope;
  const nearFirst = scope !== 'everywhere' && local.length > 0;
  const [first, ...rest] = nearFirst ? local : candidates;
  return first && chooser.pick([first, ...rest], request, random);
}

/**
 * Creates a chooser by name.
 *
 * @example
 * const chooser = createServerChooser('prefix-affinity');
 */
export function createServerChooser(name: ServerChooserName): ServerChooser {
  switch (name) {
    case 'random':
      return new RandomChooser();
    case 'round-robin':
      return new RoundRobinChooser();
    case 'least-loaded':
      return new LeastLoadedChooser();
    case 'power-of-two':
      return new PowerOfTwoChooser();
    case 'prefix-affinity':
      return new PrefixAffinityChooser();
  }
}

function utilisation(candidate: Candidate): number {
  return candidate.load / candidate.capacity;
}

function affinity(prefixHash: number, candidate: Candidate): number {
  return rendezvousRank(prefixHash, candidate.idHash);
}
