/**
 * Quarantine of requests that crash the backend servers that run them.
 *
 * A request is identified by its fingerprint, a digest of account, service and body. It is thus
 * recognised when its caller sends it again, with any id and at any router. The parts of its prompt
 * have fingerprints of their own, so that the evidence of requests that share a part is joined. The
 * state can be merged with the state of peers in any order, any number of times.
 */

import type { EpochMs } from '../../types/ids.js';
import type {
  CrashRecord,
  Fingerprint,
  QuarantineEntry,
  QuarantineEvent,
  QuarantineState,
  QuarantineVerdict,
} from '../../types/quarantine.js';
import { SUSPECT_MS, countedCrashes, hasManyCrashes, refusedForMs } from './crashEvidence.js';
import { isPartFingerprint } from './partFingerprint.js';
import { entryOf, setEntry } from '../../utils/table.js';

/**
 * Maximum number of fingerprints; above it those with the fewest crashes are removed first. A crash
 * of a server with 128 requests of four parts adds 600.
 */
const MAX_ENTRIES = 4_096;
/**
 * Fingerprints left after removal; fewer than the maximum, so that not every addition sorts all.
 */
const ENTRIES_AFTER_BOUND = 3_072;
const MAX_CRASHES = 8;
/** The same for a part of prompts, of whose crashes those of one occasion count once. */
const MAX_CRASHES_OF_PART = 32;
/** Consecutive crashes that quarantine a request even if the service has a single server. */
const CRASHES_ON_ONE_SERVER = 3;
/** How long a quarantine lasts, in milliseconds. */
const QUARANTINE_MS = 24 * 60 * 60_000;

/**
 * Creates an empty quarantine.
 *
 * @example
 * let state = createQuarantine();
 * state = reduceQuarantine(state, { type: 'crashed', server: 's1', inFlight: [digest] }, now);
 * judgeFingerprint(state, digest, now); // 'suspect'
 */
export function createQuarantine(): QuarantineState {
  return { entries: {} };
}

/** Returns the verdict on a request. */
export function judgeFingerprint(
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: EpochMs,
): QuarantineVerdict {
  const entry = entryOf(state.entries, fingerprint);
  if (!entry) return 'clear';
  if (isQuarantined(entry, now) || refusedForMs(state, fingerprint, now) > 0) return 'quarantined';
  return countedCrashes(entry, now).length > 0 ? 'suspect' : 'clear';
}

/**
 * Applies an event that a router observed.
 *
 * After a first crash, every request that was in flight is a suspect. Suspects run alone, so
 * innocent ones finish and are cleared. A suspect that was alone in a crash on another server is
 * the cause. A suspect whose second crash had other requests in flight is the cause only if none of
 * these was a suspect too. Otherwise two requests that crashed together at two routers could not be
 * distinguished, and the innocent one would be refused for a day. If several routers report the
 * same crash, none of them saw all requests in flight: the crash only adds evidence (see
 * `crashEvidence`).
 */
export function reduceQuarantine(
  state: QuarantineState,
  event: QuarantineEvent,
  now: EpochMs,
): QuarantineState {
  switch (event.type) {
    case 'crashed':
      return event.isShared ? recordShared(state, event, now) : recordCrash(state, event, now);
    case 'finished': {
      const entry = entryOf(state.entries, event.fingerprint);
      // common case: the quarantine has no crashes of this request.
      if (!entry || countedCrashes(entry, now).length === 0) return state;
      return withEntry(state, event.fingerprint, { ...entry, clearedAt: now }, now);
    }
    case 'released': {
      const entry = entryOf(state.entries, event.fingerprint) ?? { crashes: [] };
      const released = { ...entry, clearedAt: now, releasedAt: now };
      return withEntry(state, event.fingerprint, released, now);
    }
  }
}

/**
 * Merges the states of two routers. The merge is commutative, associative and idempotent, so hints
 * may arrive late, twice or in any order.
 *
 * @example
 * state = mergeQuarantines(state, hintFromPeer, now);
 */
export function mergeQuarantines(
  a: QuarantineState,
  b: QuarantineState,
  now: EpochMs,
): QuarantineState {
  const entries = { ...a.entries };
  for (const [fingerprint, other] of Object.entries(b.entries)) {
    const own = entryOf(entries, fingerprint);
    setEntry(entries, fingerprint, own ? joinEntries(own, other) : other);
  }
  return limitEntries({ entries }, now);
}

/**
 * Returns the newest entries, as a hint of bounded size for peers.
 *
 * @example
 * peer.shareHints(quarantineHint(state, 32));
 */
export function quarantineHint(state: QuarantineState, max: number): QuarantineState {
  const newest = Object.entries(state.entries)
    .sort(([, a], [, b]) => lastSeen(b) - lastSeen(a))
    .slice(0, max);
  return { entries: Object.fromEntries(newest) };
}

type Crash = Extract<QuarantineEvent, { type: 'crashed' }>;

/**
 * Records a crash of which each instance saw only a part. It counts once per request, even if
 * several instances report it.
 */
function recordShared(
  state: QuarantineState,
  { server, inFlight }: Crash,
  now: EpochMs,
): QuarantineState {
  const entries = { ...state.entries };
  for (const fingerprint of inFlight) {
    const entry = entryOf(entries, fingerprint) ?? { crashes: [] };
    if (entry.crashes.some((crash) => crash.server === server)) continue;
    const crashes = [...countedCrashes(entry, now), { server, at: now }].toSorted(byTime);
    const max = isPartFingerprint(fingerprint) ? MAX_CRASHES_OF_PART : MAX_CRASHES;
    setEntry(entries, fingerprint, { ...entry, crashes: crashes.slice(-max) });
  }
  return limitEntries({ entries }, now);
}

function recordCrash(
  state: QuarantineState,
  { server, inFlight }: Crash,
  now: EpochMs,
): QuarantineState {
  const suspectsBefore = inFlight.filter(
    (fingerprint) => judgeFingerprint(state, fingerprint, now) === 'suspect',
  );
  const entries = { ...state.entries };
  for (const fingerprint of inFlight) {
    const entry = entryOf(entries, fingerprint) ?? { crashes: [] };
    const crashes = [...countedCrashes(entry, now), { server, at: now }].slice(-MAX_CRASHES);
    const onlySuspect = suspectsBefore.length === 1 && suspectsBefore[0] === fingerprint;
    const isCause = onlySuspect && provesCause(crashes);
    setEntry(entries, fingerprint, {
      ...entry,
      crashes,
      ...(isCause ? { quarantinedAt: now } : {}),
    });
  }
  return limitEntries({ entries }, now);
}

function provesCause(crashes: CrashRecord[]): boolean {
  const servers = new Set(crashes.map((crash) => crash.server));
  // a single crash can be the server's own fault. If the service has no other server, consecutive
  // crashes are taken as proof; otherwise the request could keep the service down for ever.
  return servers.size >= 2 || crashes.length >= CRASHES_ON_ONE_SERVER;
}

function isQuarantined(entry: QuarantineEntry, now: EpochMs): boolean {
  const { quarantinedAt, releasedAt = -Infinity } = entry;
  if (quarantinedAt === undefined || quarantinedAt <= releasedAt) return false;
  return now - quarantinedAt < QUARANTINE_MS;
}

function joinEntries(a: QuarantineEntry, b: QuarantineEntry): QuarantineEntry {
  const clearedAt = latest(a.clearedAt, b.clearedAt);
  const quarantinedAt = latest(a.quarantinedAt, b.quarantinedAt);
  const releasedAt = latest(a.releasedAt, b.releasedAt);
  return {
    crashes: joinCrashes(a.crashes, b.crashes),
    ...(clearedAt === undefined ? {} : { clearedAt }),
    ...(quarantinedAt === undefined ? {} : { quarantinedAt }),
    ...(releasedAt === undefined ? {} : { releasedAt }),
  };
}

function joinCrashes(a: CrashRecord[], b: CrashRecord[]): CrashRecord[] {
  const byKey = new Map([...a, ...b].map((crash) => [`${crash.at}/${crash.server}`, crash]));
  return [...byKey.values()].sort(byTime).slice(-MAX_CRASHES);
}

function byTime(a: CrashRecord, b: CrashRecord): number {
  return a.at - b.at || (a.server < b.server ? -1 : 1);
}

function withEntry(
  state: QuarantineState,
  fingerprint: Fingerprint,
  entry: QuarantineEntry,
  now: EpochMs,
): QuarantineState {
  return limitEntries({ entries: { ...state.entries, [fingerprint]: entry } }, now);
}

/**
 * Above the maximum, removes entries without effect, then those with the fewest crashes, the oldest
 * first.
 */
function limitEntries(state: QuarantineState, now: EpochMs): QuarantineState {
  if (Object.keys(state.entries).length <= MAX_ENTRIES) return state;
  const kept = Object.entries(state.entries).filter(([, entry]) => isWorthKeeping(entry, now));
  const ranked = kept.sort(
    ([, a], [, b]) =>
      Number(isRemembered(b, now)) - Number(isRemembered(a, now)) ||
      countedCrashes(b, now).length - countedCrashes(a, now).length ||
      lastSeen(b) - lastSeen(a),
  );
  return { entries: Object.fromEntries(ranked.slice(0, ENTRIES_AFTER_BOUND)) };
}

/**
 * A cleared entry is kept for a while, to override an older crash in a delayed hint from a peer.
 */
function isWorthKeeping(entry: QuarantineEntry, now: EpochMs): boolean {
  return isRemembered(entry, now) || now - lastSeen(entry) < SUSPECT_MS;
}

function isRemembered(entry: QuarantineEntry, now: EpochMs): boolean {
  return isQuarantined(entry, now) || hasManyCrashes(entry, now);
}

function lastSeen(entry: QuarantineEntry): EpochMs {
  const lastCrash = entry.crashes.at(-1)?.at ?? -Infinity;
  return Math.max(lastCrash, entry.clearedAt ?? -Infinity, entry.releasedAt ?? -Infinity);
}

function latest(a: EpochMs | undefined, b: EpochMs | undefined): EpochMs | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  return Math.max(a, b);
}
