/**
 * Quarantine of requests that crash the backend servers that run them.
 *
 * A request is known by its fingerprint, a digest of account, service and body, so that it is
 * recognised when its caller sends it again, under whatever id and at whatever router. The state
 * can be merged with that of peers in any order, any number of times.
 */

import type { EpochMs, ServerId } from '../../types/ids.js';

/** Digest of account, service and body. */
export type Fingerprint = string;

/** What the quarantine says about a request. */
export type QuarantineVerdict =
  /** Nothing known: it may run beside others. */
  | 'clear'
  /** A server crashed with it in flight: it has to run alone. */
  | 'suspect'
  /** It crashed servers repeatedly: it gets a final refusal. */
  | 'quarantined';

/** A crash of a server with the request in flight. */
export interface CrashRecord {
  server: ServerId;
  at: EpochMs;
}

/** What is known about one fingerprint. */
export interface QuarantineEntry {
  /** Crashes since it was last cleared, oldest first; bounded. */
  crashes: CrashRecord[];
  /** When it last finished on a server without a crash; earlier crashes no longer count. */
  clearedAt?: EpochMs;
  quarantinedAt?: EpochMs;
  /** When an operator let it run again. */
  releasedAt?: EpochMs;
}

/** Serialisable state. */
export interface QuarantineState {
  entries: Record<Fingerprint, QuarantineEntry>;
}

/** What a router has seen. */
export type QuarantineEvent =
  | {
      /**
       * The server's process died. Not for timeouts or an unreachable network: a data centre that is
       * cut off would make every request in flight there look like poison.
       */
      type: 'crashed';
      server: ServerId;
      /** All requests that were in flight there, each once. */
      inFlight: Fingerprint[];
    }
  | { type: 'finished'; fingerprint: Fingerprint }
  | { type: 'released'; fingerprint: Fingerprint };

/** Fingerprints kept; beyond it the oldest suspects go first. */
const MAX_ENTRIES = 1_024;
/** Fingerprints left after that; some fewer, so that not each further one costs a sort of all. */
const ENTRIES_AFTER_BOUND = 896;
const MAX_CRASHES = 8;
/** Crashes in a row that quarantine even where a service has a single server. */
const CRASHES_ON_ONE_SERVER = 3;
/** How long a suspect stays one, in milliseconds. */
const SUSPECT_MS = 10 * 60_000;
/** How long a quarantine lasts, in milliseconds. */
const QUARANTINE_MS = 24 * 60 * 60_000;

/**
 * A quarantine that knows nothing.
 *
 * @example
 * let state = createQuarantine();
 * state = reduceQuarantine(state, { type: 'crashed', server: 's1', inFlight: [digest] }, now);
 * judgeFingerprint(state, digest, now); // 'suspect'
 */
export function createQuarantine(): QuarantineState {
  return { entries: {} };
}

/** Says how a request may run. */
export function judgeFingerprint(
  state: QuarantineState,
  fingerprint: Fingerprint,
  now: EpochMs,
): QuarantineVerdict {
  const entry = state.entries[fingerprint];
  if (!entry) return 'clear';
  if (isQuarantined(entry, now)) return 'quarantined';
  return countedCrashes(entry, now).length > 0 ? 'suspect' : 'clear';
}

/**
 * Takes in what a router saw.
 *
 * A first crash makes everything that was in flight a suspect; suspects run alone, so the innocent
 * ones finish and are cleared. A suspect that was alone in a crash on another server is the cause.
 * One that had neighbours in its second crash is the cause only if no neighbour was a suspect too:
 * else two requests that crashed together at two routers could not be told apart, and the innocent
 * one would be refused for a day.
 */
export function reduceQuarantine(
  state: QuarantineState,
  event: QuarantineEvent,
  now: EpochMs,
): QuarantineState {
  switch (event.type) {
    case 'crashed':
      return recordCrash(state, event.server, event.inFlight, now);
    case 'finished': {
      const entry = state.entries[event.fingerprint];
      // nearly all requests end here, unknown to the quarantine.
      if (!entry || countedCrashes(entry, now).length === 0) return state;
      return withEntry(state, event.fingerprint, { ...entry, clearedAt: now }, now);
    }
    case 'released': {
      const entry = state.entries[event.fingerprint] ?? { crashes: [] };
      const released = { ...entry, clearedAt: now, releasedAt: now };
      return withEntry(state, event.fingerprint, released, now);
    }
  }
}

/**
 * Joins the knowledge of two routers; commutative, associative and idempotent, so that hints may
 * come late, twice or in any order.
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
    const own = entries[fingerprint];
    entries[fingerprint] = own ? joinEntries(own, other) : other;
  }
  return bound({ entries }, now);
}

/**
 * The newest entries, as a hint for peers of bounded size.
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

function recordCrash(
  state: QuarantineState,
  server: ServerId,
  inFlight: Fingerprint[],
  now: EpochMs,
): QuarantineState {
  const suspectsBefore = inFlight.filter(
    (fingerprint) => judgeFingerprint(state, fingerprint, now) === 'suspect',
  );
  const entries = { ...state.entries };
  for (const fingerprint of inFlight) {
    const entry = entries[fingerprint] ?? { crashes: [] };
    const crashes = [...countedCrashes(entry, now), { server, at: now }].slice(-MAX_CRASHES);
    const onlySuspect = suspectsBefore.length === 1 && suspectsBefore[0] === fingerprint;
    const isCause = onlySuspect && provesCause(crashes);
    entries[fingerprint] = { ...entry, crashes, ...(isCause ? { quarantinedAt: now } : {}) };
  }
  return bound({ entries }, now);
}

function provesCause(crashes: CrashRecord[]): boolean {
  const servers = new Set(crashes.map((crash) => crash.server));
  // one crash on one server can be the server's fault; where the service has no other server, a
  // row of crashes has to do, or the request would keep the service down for ever.
  return servers.size >= 2 || crashes.length >= CRASHES_ON_ONE_SERVER;
}

function isQuarantined(entry: QuarantineEntry, now: EpochMs): boolean {
  const { quarantinedAt, releasedAt = -Infinity } = entry;
  if (quarantinedAt === undefined || quarantinedAt <= releasedAt) return false;
  return now - quarantinedAt < QUARANTINE_MS;
}

function countedCrashes(entry: QuarantineEntry, now: EpochMs): CrashRecord[] {
  const { clearedAt = -Infinity } = entry;
  return entry.crashes.filter((crash) => crash.at > clearedAt && now - crash.at < SUSPECT_MS);
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
  return [...byKey.values()]
    .sort((x, y) => x.at - y.at || (x.server < y.server ? -1 : 1))
    .slice(-MAX_CRASHES);
}

function withEntry(
  state: QuarantineState,
  fingerprint: Fingerprint,
  entry: QuarantineEntry,
  now: EpochMs,
): QuarantineState {
  return bound({ entries: { ...state.entries, [fingerprint]: entry } }, now);
}

/** Beyond the limit drops what no longer says anything, then the oldest suspects. */
function bound(state: QuarantineState, now: EpochMs): QuarantineState {
  if (Object.keys(state.entries).length <= MAX_ENTRIES) return state;
  const kept = Object.entries(state.entries).filter(([, entry]) => isUseful(entry, now));
  const ranked = kept.sort(
    ([, a], [, b]) =>
      Number(isQuarantined(b, now)) - Number(isQuarantined(a, now)) || lastSeen(b) - lastSeen(a),
  );
  return { entries: Object.fromEntries(ranked.slice(0, ENTRIES_AFTER_BOUND)) };
}

/** A cleared entry is kept for a while: it overrides the older crash in a peer's late hint. */
function isUseful(entry: QuarantineEntry, now: EpochMs): boolean {
  return isQuarantined(entry, now) || now - lastSeen(entry) < SUSPECT_MS;
}

function lastSeen(entry: QuarantineEntry): EpochMs {
  const lastCrash = entry.crashes.at(-1)?.at ?? -Infinity;
  return Math.max(lastCrash, entry.clearedAt ?? -Infinity, entry.releasedAt ?? -Infinity);
}

function latest(a: EpochMs | undefined, b: EpochMs | undefined): EpochMs | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  return Math.max(a, b);
}
