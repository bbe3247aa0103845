/** Chooses the server that is expected to answer first. */

import type { Candidate, PlacementScope, RandomSource } from '../../types/placement.js';
import type { ChoiceRequest } from './serverChooser.js';
import { ServerChooser } from './serverChooser.js';

/**
 * Number of instances up to which each compares all servers; more of them compare two random ones.
 * Otherwise many instances send to the server that their reports, all of the same age, show as the
 * fastest. With few instances and new reports, comparing all servers is better.
 */
const MAX_UNSAMPLED = 24;
/** A server of another data centre must be expected to answer sooner by this factor: its bytes are charged. */
const REMOTE_FACTOR = 1.25;

/**
 * Picks the server with the lowest expected time while servers report their speed; leaves the choice
 * to another chooser otherwise.
 *
 * @example
 * const chooser = new ExpectedTimeChooser(createServerChooser('power-of-two'), () => 83);
 */
export class ExpectedTimeChooser extends ServerChooser {
  override readonly name: ServerChooser['name'];
  readonly #inner: ServerChooser;
  readonly #instances: () => number;

  /**
   * @param inner chooses where no server reports its speed.
   * @param instances number of instances that share the servers.
   */
  constructor(inner: ServerChooser, instances: () => number) {
    super();
    this.#inner = inner;
    this.#instances = instances;
    this.name = inner.name;
  }

  /** A fast server of another data centre may be better than a slow one here. */
  override scope(candidates: readonly Candidate[]): PlacementScope | undefined {
    return isTimed(candidates) ? 'everywhere' : undefined;
  }

  override pick(candidates: Candidates, request: ChoiceRequest, random: RandomSource): Candidate {
    if (!isTimed(candidates)) return this.#inner.pick(candidates, request, random);
    const inTurn = rotate(candidates, random);
    return fastest(this.#instances() > MAX_UNSAMPLED ? sampleTwo(inTurn, random) : inTurn);
  }
}

/** Whether a server reports its speed and the time of a request is known. */
function isTimed(candidates: readonly Candidate[]): boolean {
  const isReported = candidates.some(({ slowdown }) => slowdown !== undefined);
  return isReported && candidates.every(({ expectedMs }) => expectedMs !== undefined);
}

type Candidates = readonly [Candidate, ...Candidate[]];

/** The candidates from a random one on, so that none is preferred among equals. */
function rotate(candidates: Candidates, random: RandomSource): Candidates {
  const first = Math.floor(random() * candidates.length);
  const [head, ...rest] = [...candidates.slice(first), ...candidates.slice(0, first)];
  return [head ?? candidates[0], ...rest];
}

/** The first candidate and a random other one. */
function sampleTwo([first, ...others]: Candidates, random: RandomSource): Candidates {
  const other = others[Math.floor(random() * others.length)];
  return other ? [first, other] : [first];
}

/** Candidate with the lowest expected time. */
function fastest(candidates: Candidates): Candidate {
  return candidates.reduce((best, next) => (cost(next) < cost(best) ? next : best));
}

function cost({ expectedMs = Infinity, local }: Candidate): number {
  return local ? expectedMs : expectedMs * REMOTE_FACTOR;
}
