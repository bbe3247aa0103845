/**
 * Distinguishes a request, or a part of prompts, that crashes its servers from those that only ran
 * beside it. This applies where servers run dozens of requests at once and no instance sees all of
 * them.
 */

import type { EpochMs, ServerId } from '../../types/ids.js';
import type {
  CrashRecord,
  Fingerprint,
  ProvenCrashCause,
  QuarantineEntry,
  QuarantineState,
} from '../../types/quarantine.js';
import { isPartFingerprint } from './partFingerprint.js';
import { entryOf } from '../../utils/table.js';

/**
 * Minimum number of servers that crashed with a request in flight before it counts as the cause.
 */
const MIN_CRASHED_SERVERS = 3;
/** The same for a part of prompts, which is in flight with many requests. */
const MIN_CRASHES_OF_PART = 4;
/** Number of crashed servers at which it counts as the cause regardless of other crashes. */
const CERTAIN_CRASHED_SERVERS = 5;
/** Crashes of other servers, without the request, for which one more with it is required. */
const OTHER_CRASHES_PER_EXTRA = 2;

/**
 * Crashes of servers that follow each other within this many milliseconds count once against a part
 * of prompts: a part that many requests share is in flight at all servers that are lost together.
 */
const SAME_OCCASION_MS = 300;

/** Crashes of other servers count from this many milliseconds before its first crash. */
const LOOK_BACK_MS = 10_000;

/** Maximum number of crashed servers that are stored with a proven cause. */
const MAX_STORED_SERVERS = 8;

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
  return serversOf(countedCrashes(entry, now)).size >= MIN_CRASHED_SERVERS;
}

/** What speaks against a whole request or a part. */
interface Evidence {
  isPart: boolean;
  servers: ReadonlySet<ServerId>;
  /** Crashed servers; for a part, those of one occasion count once. */
  count: number;
  /** Count from which it may be the cause. */
  minCount: number;
}

function isWorthStoring(
  state: QuarantineState,
  fingerprint: Fingerprint,
  entry: QuarantineEntry,
  now: EpochMs,
): boolean {
  const proof = proofOf(state, fingerprint, entry, now);
  const { isPart, count } = evidenceOf(fingerprint, entry, now);
  // sound parts of the same requests are rivals of a bad one, so its proof is hardly ever sure.
  return proof === 'sure' || (proof === 'unsure' && isPart && count >= CERTAIN_CRASHED_SERVERS);
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
  const entry = entryOf(state.entries, fingerprint);
  const proof = entry ? proofOf(state, fingerprint, entry, now) : 'none';
  if (!entry || proof === 'none') return 0;
  const crashes = countedCrashes(entry, now);
  const sinceMs = now - (crashes.at(-1)?.at ?? -Infinity);
  const { minCount } = evidenceOf(fingerprint, entry, now);
  return Math.max(0, refusalMs(crashes, proof, minCount) - sinceMs);
}

/** Filters the requests that certainly are causes, with the crashed servers that prove it. */
export function provenCrashCauses(
  state: QuarantineState,
  fingerprints: readonly Fingerprint[],
  now: EpochMs,
): ProvenCrashCause[] {
  return fingerprints.flatMap((fingerprint) => {
    const entry = entryOf(state.entries, fingerprint);
    if (!entry || !isWorthStoring(state, fingerprint, entry, now)) return [];
    const servers = [...serversOf(countedCrashes(entry, now))].slice(-MAX_STORED_SERVERS);
    return [{ fingerprint, servers }];
  });
}

function proofOf(
  state: QuarantineState,
  fingerprint: Fingerprint,
  entry: QuarantineEntry,
  now: EpochMs,
): Proof {
  const own = evidenceOf(fingerprint, entry, now);
  if (own.count < own.minCount) return 'none';
  const rivals = rivalsOf(state, fingerprint, now);
  if ([...own.servers].every((server) => isExplained(server, own, rivals))) return 'none';
  const others = countCrashedWithout(state, countedCrashes(entry, now), rivals);
  const wanted = own.minCount + Math.floor(others / OTHER_CRASHES_PER_EXTRA);
  if (own.count < Math.min(CERTAIN_CRASHED_SERVERS, wanted)) return 'none';
  return wanted > own.minCount || rivals.length > 0 ? 'unsure' : 'sure';
}

function evidenceOf(fingerprint: Fingerprint, entry: QuarantineEntry, now: EpochMs): Evidence {
  const crashes = countedCrashes(entry, now);
  const servers = serversOf(crashes);
  const isPart = isPartFingerprint(fingerprint);
  return isPart
    ? { isPart, servers, count: countOccasions(crashes), minCount: MIN_CRASHES_OF_PART }
    : { isPart, servers, count: servers.size, minCount: MIN_CRASHED_SERVERS };
}

/** @param crashes in order of time. */
function countOccasions(crashes: readonly CrashRecord[]): number {
  let count = 0;
  let from = -Infinity;
  for (const { at } of crashes) {
    if (at - from <= SAME_OCCASION_MS) continue;
    count += 1;
    from = at;
  }
  return count;
}

/**
 * The evidence against everything else that may be the cause. A part is in flight with each request
 * that holds it, so it is no rival of whole requests.
 */
function rivalsOf(
  { entries }: QuarantineState,
  fingerprint: Fingerprint,
  now: EpochMs,
): Evidence[] {
  const isPart = isPartFingerprint(fingerprint);
  return Object.entries(entries).flatMap(([other, entry]) => {
    if (other === fingerprint || (!isPart && isPartFingerprint(other))) return [];
    if (entry.crashes.length < MIN_CRASHED_SERVERS) return [];
    const evidence = evidenceOf(other, entry, now);
    return evidence.count >= MIN_CRASHED_SERVERS ? [evidence] : [];
  });
}

/**
 * Whether something else that is at least as likely the cause was in flight at this server. Two
 * requests that always run together are both refused once each reaches `CERTAIN_CRASHED_SERVERS`;
 * a part is not, beside the one request that holds it.
 */
function isExplained(
  server: ServerId,
  { count, isPart }: Evidence,
  rivals: readonly Evidence[],
): boolean {
  return rivals.some((rival) => {
    const isWholeOfPart = isPart && !rival.isPart;
    const mayBeEqual = count < CERTAIN_CRASHED_SERVERS || isWholeOfPart;
    const isLikelier = rival.count > count || (rival.count === count && mayBeEqual);
    return isLikelier && rival.servers.has(server);
  });
}

/** Number of servers that crashed without a request, near its crashes, unexplained by a rival. */
function countCrashedWithout(
  { entries }: QuarantineState,
  crashes: readonly CrashRecord[],
  rivals: readonly Evidence[],
): number {
  const from = (crashes[0]?.at ?? Infinity) - LOOK_BACK_MS;
  const all = Object.values(entries).flatMap((entry) => entry.crashes);
  const since = serversOf(all.filter(({ at }) => at >= from));
  const explained = [serversOf(crashes), ...rivals.map(({ servers }) => servers)];
  return [...since].filter((server) => !explained.some((ended) => ended.has(server))).length;
}

function refusalMs(crashes: readonly CrashRecord[], proof: Proof, minCount: number): number {
  if (crashedAfterRefusal(crashes, minCount)) return REPEATED_REFUSAL_MS;
  return proof === 'sure' ? CERTAIN_REFUSAL_MS : UNCERTAIN_REFUSAL_MS;
}

/** Whether it ran again after a refusal and crashed another server. */
function crashedAfterRefusal(crashes: readonly CrashRecord[], minCount: number): boolean {
  return crashes.slice(minCount).some(({ at }, i) => {
    const before = crashes[minCount + i - 1];
    return before !== undefined && at - before.at >= UNCERTAIN_REFUSAL_MS;
  });
}

function serversOf(crashes: readonly CrashRecord[]): Set<ServerId> {
  return new Set(crashes.map(({ server }) => server));
}
