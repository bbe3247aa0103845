/**
 * Distinguishes a request that crashes its servers from requests that only ran beside it. This
 * applies where servers run dozens of requests at once and no instance sees all of them.
 */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type {
  CrashRecord,
  Fingerprint,
  ProvenCrashCause,
  QuarantineEntry,
  QuarantineState,
} from '../../types/quarantine.js';

/**
 * Minimum number of servers that crashed with a request in flight before it counts as the cause.
 */
const MIN_CRASHED_SERVERS = 3;
/** Number of crashed servers at which it counts as the cause regardless of other crashes. */
const CERTAIN_CRASHED_SERVERS = 5;
/** Crashes of other servers, without the request, for which one more with it is required. */
const OTHER_CRASHES_PER_EXTRA = 2;

/** Crashes of other servers count from this many milliseconds before its first crash. */
const LOOK_BACK_MS = 10_000;

const MS_PER_MINUTE = 60_000;
/** How long a request stays a suspect, in milliseconds. */
export const SUSPECT_MS = 10 * MS_PER_MINUTE;
/**
 * How long a cause is refused at first, in milliseconds. It may only have run beside the real
 * cause.
 */
const CERTAIN_REFUSAL_MS = 10 * MS_PER_MINUTE;
/**
 * The same if servers crashed without it as well, or if another request may be the cause, in
 * milliseconds.
 */
const UNCERTAIN_REFUSAL_MS = MS_PER_MINUTE;
/** How long it is refused if it crashed a server again after a refusal, in milliseconds. */
const REPEATED_REFUSAL_MS = 24 * 60 * MS_PER_MINUTE;

/** Crashes that count against a request: those since it last finished that are not too old. */
export function countedCrashes(
  { crashes, clearedAt }: QuarantineEntry,
  now: EpochMs,
): CrashRecord[] {
  const since = crashes.filter(({ at }) => at > (clearedAt ?? -Infinity));
  const memoryMs = serversOf(since).size >= MIN_CRASHED_SERVERS ? REPEATED_REFUSAL_MS : SUSPECT_MS;
  return since.filter(({ at }) => now - at < memoryMs);
}

/** Whether enough servers crashed with a request in flight that its entry must be kept longer. */
export function hasManyCrashes(entry: QuarantineEntry, now: EpochMs): boolean {
  return crashedServers(entry, now).size >= MIN_CRASHED_SERVERS;
}

/** How certain it is that a request caused the crashes during which it was in flight. */
type Proof = 'none' | 'unsure' | 'sure';

/**
 * Remaining milliseconds for which a request is refused as the cause of crashes; 0 if it is not
 * known to be a cause. All instances that know of the same crashes get the same result, whichever
 * instance observed them.
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

/** Filters the requests that certainly are causes, with the crashed servers that prove it. */
export function provenCrashCauses(
  state: QuarantineState,
  fingerprints: readonly Fingerprint[],
  now: EpochMs,
): ProvenCrashCause[] {
  return fingerprints.flatMap((fingerprint) => {
    const entry = state.entries[fingerprint];
    if (!entry || proofOf(state, fingerprint, entry, now) !== 'sure') return [];
    return [{ fingerprint, servers: [...crashedServers(entry, now)] }];
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
  if (ended.size < MIN_CRASHED_SERVERS) return 'none';
  const rivals = rivalsOf(state, fingerprint, now);
  if ([...ended].every((server) => isExplained(server, ended.size, rivals))) return 'none';
  const others = countCrashedWithout(state, crashes, rivals);
  const wanted = MIN_CRASHED_SERVERS + Math.floor(others / OTHER_CRASHES_PER_EXTRA);
  if (ended.size < Math.min(CERTAIN_CRASHED_SERVERS, wanted)) return 'none';
  return wanted > MIN_CRASHED_SERVERS || rivals.length > 0 ? 'unsure' : 'sure';
}

/** For each other request with enough crashed servers to be a cause, the set of these servers. */
function rivalsOf(
  { entries }: QuarantineState,
  fingerprint: Fingerprint,
  now: EpochMs,
): Set<ServerId>[] {
  return Object.entries(entries).flatMap(([other, entry]) => {
    const ended = other === fingerprint ? undefined : crashedServers(entry, now);
    return ended && ended.size >= MIN_CRASHED_SERVERS ? [ended] : [];
  });
}

/**
 * Whether another request that is at least as likely the cause was in flight at this server. Two
 * requests that always run together are both refused once each reaches `CERTAIN_CRASHED_SERVERS`.
 */
function isExplained(
  server: ServerId,
  count: number,
  rivals: readonly ReadonlySet<ServerId>[],
): boolean {
  return rivals.some((ended) => {
    const isLikelier =
      ended.size > count || (ended.size === count && count < CERTAIN_CRASHED_SERVERS);
    return isLikelier && ended.has(server);
  });
}

/** Number of servers that crashed without a request, near its crashes, unexplained by a rival. */
function countCrashedWithout(
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
  if (crashedAfterRefusal(crashes)) return REPEATED_REFUSAL_MS;
  return proof === 'sure' ? CERTAIN_REFUSAL_MS : UNCERTAIN_REFUSAL_MS;
}

/** Whether it ran again after a refusal and crashed another server. */
function crashedAfterRefusal(crashes: readonly CrashRecord[]): boolean {
  return crashes.slice(MIN_CRASHED_SERVERS).some(({ at }, i) => {
    const before = crashes[MIN_CRASHED_SERVERS + i - 1];
    return before !== undefined && at - before.at >= UNCERTAIN_REFUSAL_MS;
  });
}

function crashedServers(entry: QuarantineEntry, now: EpochMs): Set<ServerId> {
  return serversOf(countedCrashes(entry, now));
}

function serversOf(crashes: readonly CrashRecord[]): Set<ServerId> {
  return new Set(crashes.map(({ server }) => server));
}
