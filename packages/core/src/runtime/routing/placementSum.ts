/** Adds up what a generation costs at one server, in milliseconds until its first event. */

import type { EngineTerms, PlacementCost } from '../../types/placementCost.js';
import type { ServerId, Tokens } from '../../types/ids.js';

/** Bounds of a machine's slowdown, so that an incorrect report has a limited effect. */
const MIN_SLOWDOWN = 0.2;
const MAX_SLOWDOWN = 10;
/** Milliseconds to set up a copy: two round trips between servers, and finding the parts. */
const COPY_SETUP_MS = 4;
/** Bytes for each cached token where the configuration names none: a model of medium size. */
const USUAL_TOKEN_BYTES = 131_072;
/** Bytes in a millisecond where the configuration names no link: 25 Gbit/s. */
const USUAL_LINK_BYTES_PER_MS = 3_125_000;
/**
 * Milliseconds that a megabyte between data centres may save. These bytes are charged, and the charge
 * can't be compared with time directly; at this rate a request of 50 KB goes to another data centre
 * only if that saves more than a millisecond, and a cache of 100 MB is not copied there.
 */
const CROSS_MS_PER_MB = 20;
/** Delay of a request and its response between data centres, both ways, in milliseconds. */
const CROSS_DELAY_MS = 1.8;
/**
 * Time that reading a shared token again is worth besides its reading, as a multiple of the usual
 * reading time. Reading it again is charged, delays what the engine reads afterwards, and takes room in
 * a second cache. With a lower weight, more is read again than by the owner's hash; with a higher one,
 * first events are later.
 */
const REREAD_WEIGHT = 3;
/** Bytes of a prompt's text for each token. */
const TEXT_BYTES_PER_TOKEN = 4;
const BYTES_PER_MB = 1_000_000;

/** What is known about one server and one request. */
export interface PlacementTerms {
  server: ServerId;
  promptTokens: Tokens;
  keptTokens: Tokens;
  /**
   * Tokens that the server with most of the prompt keeps, at least those of its shared parts; 0 for the
   * owner, where they are of use to all instances.
   */
  keptAnywhere: Tokens;
  /** Usual tokens a millisecond of the service. */
  usualTokensPerMs: number;
  /** Tokens a millisecond at the server's usual speed. */
  tokensPerMs: number;
  /** How long work takes there now, as a multiple of the usual. @default 1 */
  slowdown?: number | undefined;
  /** Usual wait at its load. */
  waitMs: number;
  /** Tokens of earlier requests of this instance that it has not read yet. */
  aheadTokens: Tokens;
  /** Whether it is in the data centre of this instance. */
  local: boolean;
  /** Tokens of running requests in its memory. */
  runningTokens: Tokens;
  /** Memory of the server in tokens; undefined while unknown. */
  memoryTokens?: Tokens | undefined;
  /** Share of evicted tokens that are read again. */
  reuseShare: number;
}

/**
 * Returns the sum for one server, without a copy.
 *
 * @example
 * placementSum({ ...terms, promptTokens: 6_000, keptTokens: 6_000 }).readMs; // 0
 */
export function placementSum(terms: PlacementTerms): PlacementCost {
  const { server, promptTokens, keptTokens, aheadTokens, local } = terms;
  const slowdown = boundedSlowdown(terms.slowdown);
  const msPerToken = slowdown / terms.tokensPerMs;
  const readMs = Math.max(0, promptTokens - keptTokens) * msPerToken;
  const waitMs = terms.waitMs * slowdown + aheadTokens * msPerToken;
  const displacedMs = displacedTokens(terms) / terms.tokensPerMs;
  const crossMs = local ? 0 : CROSS_DELAY_MS + crossingMs(TEXT_BYTES_PER_TOKEN * promptTokens);
  const chargedMs = crossMs + rereadMs(terms);
  const totalMs = readMs + waitMs + displacedMs + chargedMs;
  return { server, keptTokens, readMs, waitMs, copyMs: 0, displacedMs, chargedMs, totalMs };
}

/**
 * Returns the sum with a copy of tokens that another server keeps; undefined if reading them is
 * cheaper.
 *
 * @param cost the sum without the copy.
 * @param after the sum of the same server if it kept the copied tokens too.
 */
export function withCopy(
  cost: PlacementCost,
  after: PlacementCost,
  terms: EngineTerms,
  crosses: boolean,
): PlacementCost | undefined {
  const bytes = (after.keptTokens - cost.keptTokens) * (terms.tokenBytes ?? USUAL_TOKEN_BYTES);
  if (bytes <= 0) return undefined;
  const linkMs = bytes / (terms.linkBytesPerMs ?? USUAL_LINK_BYTES_PER_MS);
  const copyMs = COPY_SETUP_MS + linkMs + (crosses ? CROSS_DELAY_MS + crossingMs(bytes) : 0);
  const { readMs, chargedMs } = after;
  if (copyMs >= cost.readMs - readMs) return undefined;
  const { waitMs, displacedMs } = cost;
  const totalMs = readMs + waitMs + copyMs + displacedMs + chargedMs;
  return { ...cost, readMs, chargedMs, copyMs, totalMs };
}

/** Bounds a reported slowdown; without a report, work takes the usual time. */
export function boundedSlowdown(slowdown: number | undefined): number {
  if (slowdown === undefined || Number.isNaN(slowdown)) return 1;
  return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown));
}

/**
 * Tokens that are read again because of the placement. What is evicted is the less recently used the
 * less memory running requests take. What exceeds the memory preempts a running request.
 */
function displacedTokens(terms: PlacementTerms): Tokens {
  const { promptTokens, keptTokens, runningTokens, memoryTokens, reuseShare } = terms;
  if (memoryTokens === undefined || memoryTokens <= 0) return 0;
  const added = Math.max(0, promptTokens - keptTokens);
  const needed = runningTokens + promptTokens;
  const occupied = Math.min(1, needed / memoryTokens);
  return added * reuseShare * occupied + Math.max(0, needed - memoryTokens);
}

function rereadMs({ keptTokens, keptAnywhere, usualTokensPerMs }: PlacementTerms): number {
  return (REREAD_WEIGHT * Math.max(0, keptAnywhere - keptTokens)) / usualTokensPerMs;
}

function crossingMs(bytes: number): number {
  return (bytes / BYTES_PER_MB) * CROSS_MS_PER_MB;
}
