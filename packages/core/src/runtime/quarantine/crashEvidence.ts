/**
 * Tells a request that ends its servers from those that were only beside it, where servers run dozens of
 * requests at once and no instance sees them all.
 */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type {
  CrashRecord,
  Fingerprint,
  ProvenCause,
  QuarantineEntry,
  QuarantineState,
} from '../../types/quarantine.js';

/** Servers that ended under a request, at the least, before it is taken for the cause. */
const LEAST_ENDED = 3;
/** Servers that ended under it after which it is, whatever else ended servers meanwhile. */
const MOST_ENDED = 5;
/** Servers that ended without it for which one more under it is wanted. */
const OTHERS_FOR_ONE_MORE = 2;

/** Milliseconds before its first crash from which other servers that ended count, too. */
const LOOK_BACK_MS = 10_000;

const MS_PER_MINUTE = 60_000;
/** How long a suspect stays one, in milliseconds. */
export const SUSPECT_MS = 10 * MS_PER_MINUTE;
/** How long a cause is refused at first, in milliseconds: it may be a neighbour after all. */
const FIRST_REFUSAL_MS = 10 * MS_PER_MINUTE;
/** The same where servers ended without it as well, or another may be the cause, in milliseconds. */
const UNSURE_REFUSAL_MS = MS_PER_MINUTE;
/** How long it is refused when it has ended a server once more after that, in milliseconds. */
const LAST_REFUSAL_MS = 24 * 60 * MS_PER_MINUTE;

/** Crashes that count against a request: since it last finished, and not too old. */
export function countedCrashes(
  { crashes, clearedAt }: QuarantineEntry,
  now: EpochMs,
): CrashRecord[] {
  const since = crashes.filter(({ at }) => at > (clearedAt ?? -Infinity));
  const memoryMs = serversOf(since).size >= LEAST_ENDED ? LAST_REFUSAL_MS : SUSPECT_MS;
  return since.filter(({ at }) => now - at < memoryMs);
}

/** Whether so many servers ended under a request that it has to be remembered for long. */
export function isOftenThere(entry: QuarantineEntry, now: EpochMs): boolean {
  return endedUnder(entry, now).size >= LEAST_ENDED;
}

/** How sure it is that a request is the cause of the crashes that it was in. */
type Proof = 'none' | 'unsure' | 'sure';

/**
 * Milliseconds for which a request is refused as the cause of crashes; 0 where it is none by what is known.
 * Each instance that knows of the same crashes says the same, whoever saw them.
 *
 * @example
 * if (refusedForMs(state, fingerprint, now) > 0) refuse();
 */
export function refusedForMs(
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: EpochMs,
): number {
  const entry = state.entries[fingerprint];
  const proof = entry ? proofOf(state, fingerprint, entry, now) : 'none';
  if (!entry || proof === 'none') return 0;
  const crashes = countedCrashes(entry, now);
  const sinceMs = now - (crashes.at(-1)?.at ?? -Infinity);
  return Math.max(0, refusalMs(crashes, proof) - sinceMs);
}

/** Those of some requests that are surely causes, with the servers that prove it. */
export function provenCauses(
  state: QuarantineState,
  fingerprints: readonly Fingerprint[],
  now: EpochMs,
): ProvenCause[] {
  return fingerprints.flatMap((fingerprint) => {
    const entry = state.entries[fingerprint];
    if (!entry || proofOf(state, fingerprint, entry, now) !== 'sure') return [];
    return [{ fingerprint, servers: [...endedUnder(entry, now)] }];
  });
}

function proofOf(
  state: QuarantineState,
  fingerprint: Fingerprint,
  entry: QuarantineEntry,
  now: EpochMs,
): Proof {
  const crashes = countedCrashes(entry, now);
  const ended = serversOf(crashes);
  if (ended.size < LEAST_ENDED) return 'none';
  const rivals = rivalsOf(state, fingerprint, now);
  if ([...ended].every((server) => isExplained(server, ended.size, rivals))) return 'none';
  const others = endedWithout(state, crashes, rivals);
  const wanted = LEAST_ENDED + Math.floor(others / OTHERS_FOR_ONE_MORE);
  if (ended.size < Math.min(MOST_ENDED, wanted)) return 'none';
  return wanted > LEAST_ENDED || rivals.length > 0 ? 'unsure' : 'sure';
}

/** Other requests under which as many servers ended as a cause needs, with these servers. */
function rivalsOf(
  { entries }: QuarantineState,
  fingerprint: Fingerprint,
  now: EpochMs,
): Set<ServerId>[] {
  return Object.entries(entries).flatMap(([other, entry]) => {
    const ended = other === fingerprint ? undefined : endedUnder(entry, now);
    return ended && ended.size >= LEAST_ENDED ? [ended] : [];
  });
}

/**
 * Whether another request was there that is as likely the cause. Two that always come together are both refused
 * in the end.
 */
function isExplained(
  server: ServerId,
  count: number,
  rivals: readonly ReadonlySet<ServerId>[],
): boolean {
  return rivals.some((ended) => {
    const isLikelier = ended.size > count || (ended.size === count && count < MOST_ENDED);
    return isLikelier && ended.has(server);
  });
}

/** Servers that ended without a request about the time of its crashes, and that no other cause explains. */
function endedWithout(
  { entries }: QuarantineState,
  crashes: readonly CrashRecord[],
  rivals: readonly ReadonlySet<ServerId>[],
): number {
  const from = (crashes[0]?.at ?? Infinity) - LOOK_BACK_MS;
  const all = Object.values(entries).flatMap((entry) => entry.crashes);
  const since = serversOf(all.filter(({ at }) => at >= from));
  const explained = [serversOf(crashes), ...rivals];
  return [...since].filter((server) => !explained.some((ended) => ended.has(server))).length;
}

function refusalMs(crashes: readonly CrashRecord[], proof: Proof): number {
  if (hasReturned(crashes)) return LAST_REFUSAL_MS;
  return proof === 'sure' ? FIRST_REFUSAL_MS : UNSURE_REFUSAL_MS;
}

/** Whether it was let run again after a refusal and ended a server then. */
function hasReturned(crashes: readonly CrashRecord[]): boolean {
  return crashes.slice(LEAST_ENDED).some(({ at }, i) => {
    const before = crashes[LEAST_ENDED + i - 1];
    return before !== undefined && at - before.at >= UNSURE_REFUSAL_MS;
  });
}

function endedUnder(entry: QuarantineEntry, now: EpochMs): Set<ServerId> {
  return serversOf(countedCrashes(entry, now));
}

function serversOf(crashes: readonly CrashRecord[]): Set<ServerId> {
  return new Set(crashes.map(({ server }) => server));
}
