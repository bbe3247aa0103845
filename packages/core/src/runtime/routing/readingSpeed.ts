/** Learns how fast engines read prompts. */

import type { ServerId, Tokens } from '../../types/ids.js';
import { LRUCache } from 'lru-cache';

/** Tokens per millisecond assumed before the first observation. */
const PRIOR_SPEED = 40;
/** Bounds of the speed, some ten times below and above what engines show. */
const MIN_SPEED = 4;
const MAX_SPEED = 400;
/** Bounds of one engine's speed as a multiple of the usual; machines differ by a factor of three. */
const MIN_FACTOR = 0.25;
const MAX_FACTOR = 4;
/**
 * Observations remembered of all engines and of one, and which of them counts, in order of speed. Most
 * prompts wait behind others, so the fast ones show the speed; the fastest may have been cached.
 */
const REMEMBERED = 60;
const REMEMBERED_OF_SERVER = 15;
const QUANTILE = 0.75;
/** Observations after which the usual speed is good enough to judge estimates by. */
const LEARNED_AFTER = 5;
/** Weight of the usual speed in that of one engine, in observations. */
const USUAL_WEIGHT = 3;
/** Prompts shorter than this show their wait rather than the reading speed. */
const MIN_TOKENS = 500;
/** Maximum number of engines with a speed of their own. */
const MAX_SERVERS = 1_024;

/**
 * Speed of reading, usual and by engine. The present slowdown of a machine is not included.
 *
 * @example
 * speed.observe('e1', 6_000, 100);
 * speed.ofServer('e1'); // tokens per millisecond
 */
export class ReadingSpeed {
  readonly #all: number[] = [];
  readonly #servers = new LRUCache<ServerId, number[]>({ max: MAX_SERVERS });
  readonly #speeds = new LRUCache<ServerId, number>({ max: MAX_SERVERS });
  #usual = PRIOR_SPEED;

  /** Tokens per millisecond of a usual engine. */
  get usual(): number {
    return this.#usual;
  }

  /** Whether enough was observed to judge by. */
  get isLearned(): boolean {
    return this.#all.length >= LEARNED_AFTER;
  }

  /** Tokens per millisecond of one engine. */
  ofServer(id: ServerId): number {
    const speed = this.#speeds.peek(id) ?? this.#usual;
    const known = this.#servers.peek(id)?.length ?? 0;
    const share = known / (known + USUAL_WEIGHT);
    const factor = bounded(speed / this.#usual, MIN_FACTOR, MAX_FACTOR) ** share;
    return bounded(this.#usual * factor, MIN_SPEED, MAX_SPEED);
  }

  /** Records how long an engine took to read some tokens, without slowdown. */
  observe(id: ServerId, tokens: Tokens, ms: number): void {
    if (tokens < MIN_TOKENS || !(ms > 0)) return;
    const speed = bounded(tokens / ms, MIN_SPEED, MAX_SPEED);
    remember(this.#all, speed, REMEMBERED);
    this.#usual = quantile(this.#all);
    const own = this.#servers.get(id) ?? [];
    remember(own, speed, REMEMBERED_OF_SERVER);
    this.#servers.set(id, own);
    this.#speeds.set(id, quantile(own));
  }
}

function remember(values: number[], value: number, most: number): void {
  values.push(value);
  if (values.length > most) values.shift();
}

function quantile(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(QUANTILE * (sorted.length - 1))] ?? PRIOR_SPEED;
}

function bounded(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
