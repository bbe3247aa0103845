/**
 * Membership protocol: which other routers this router considers alive. Pure functions that update
 * the state on heartbeats, on the instance list (which may be out of date) and on timer ticks. The
 * results are hints: no safety property depends on them.
 */

import type { EpochMs, IncarnationId } from '../../types/ids.js';
import type { InstanceRecord, MemberInfo, PeerHealth } from '../../types/member.js';
import type {
  ContactPoint,
  KnownMember,
  MembershipSettings,
  MembershipState,
} from '../../types/membership.js';
import { rendezvousOwner } from '../../utils/hash.js';
import { FULL_MESH_LIMIT, judgeMembers, RING_FANOUT, ringOrder } from './memberHealth.js';
import { entryOf, setEntry } from '../../utils/table.js';

/** Evidence, relayed by another member, that a member is alive. */
export interface DigestEntry {
  incarnation: IncarnationId;
  beat: number;
  /** Milliseconds since the sender's last evidence. */
  ageMs: number;
}

/**
 * Message from one router to another at each beat. Its size does not grow with the fleet.
 */
export interface Heartbeat {
  info: MemberInfo;
  digest: DigestEntry[];
  /** Members that the receiver may not know. */
  members: MemberInfo[];
}

/** Number of beats between heartbeats to each other data centre. */
const REMOTE_INTERVAL_BEATS = 4;
/** Number of addresses without a known member that are tried at each beat. */
const CONTACT_POINTS_PER_BEAT = 2;
/** Maximum number of digest entries in a heartbeat. */
const MAX_DIGEST = 6;
/**
 * Maximum number of digest entries while each router sends to all its local peers directly. Only
 * the members of other data centres have to be relayed then.
 */
const MAX_FULL_MESH_DIGEST = 3;
/** A local peer gets no heartbeat if it exchanged one within this part of a beat. */
const LOCAL_EXCHANGE_BEATS = 0.6;
/** Another data centre gets no heartbeat if one was exchanged within this number of beats. */
const REMOTE_EXCHANGE_BEATS = 2;
/** Number of beats between heartbeats that describe a member in full, if no member is new. */
const INTRODUCTION_INTERVAL_BEATS = 4;
/** How long a member counts as new. New members are described first, and at every beat. */
const NEW_MEMBER_MS = 10_000;
/** How long the entry of a silent member is kept, so that its address is still tried. */
const GONE_MEMBER_TTL_MS = 10 * 60_000;
/**
 * Maximum number of members stored for each other data centre. This many are enough to stay in
 * touch with a data centre of any size.
 */
const MAX_PER_REMOTE_CENTRE = 16;
/** Maximum number of members of the own data centre, and of contact points. */
const MAX_ENTRIES = 1_024;

/**
 * Creates the state of a router that knows only itself and its configured contact points.
 *
 * @example
 * let state = createMembership(self, { suspectMs: 2_000, goneMs: 4_000 }, seeds);
 */
export function createMembership(
  self: MemberInfo,
  settings: MembershipSettings,
  seeds: readonly string[] = [],
): MembershipState {
  const contactPoints = seeds.map((meshUrl) => ({ meshUrl }));
  return { self, settings, members: {}, contactPoints };
}

/** Changes what this router reports about itself. A new incarnation starts at the next beat. */
export function updateSelf(state: MembershipState, change: Partial<MemberInfo>): MembershipState {
  return { ...state, self: { ...state.self, ...change } };
}

/**
 * Applies what a member reports about itself, received directly (`ageMs` 0) or through another
 * member.
 *
 * Only a higher beat is evidence that the member is alive. Otherwise a heartbeat that was delayed
 * in the network, or stored by a peer, would mark a dead router as alive and make others wait for
 * it.
 */
export function observeMember(
  state: MembershipState,
  info: MemberInfo,
  now: EpochMs,
  ageMs = 0,
): MembershipState {
  if (info.incarnation === state.self.incarnation) return state;
  const known = entryOf(state.members, info.incarnation);
  if (known && info.beat <= known.info.beat) return state;
  const members = known ? state.members : evictForNewMember(state, info, now);
  if (!members) return state;
  const lastHeardAt = Math.max(known?.lastHeardAt ?? 0, now - ageMs);
  const lastDirectAt = ageMs === 0 ? now : known?.lastDirectAt;
  const member = {
    info,
    firstHeardAt: known?.firstHeardAt ?? lastHeardAt,
    lastHeardAt,
    ...(lastDirectAt !== undefined && { lastDirectAt }),
  };
  return { ...state, members: { ...members, [info.incarnation]: member } };
}

/** Applies a whole heartbeat. */
export function observeHeartbeat(
  state: MembershipState,
  heartbeat: Heartbeat,
  now: EpochMs,
): MembershipState {
  const ages = new Map(heartbeat.digest.map((entry) => [entry.incarnation, entry.ageMs]));
  let next = observeMember(state, heartbeat.info, now);
  for (const info of heartbeat.members) {
    const ageMs = ages.get(info.incarnation);
    // without an age there is no evidence that the member is still alive.
    if (ageMs !== undefined) next = observeMember(next, info, now, ageMs);
  }
  for (const { incarnation, beat, ageMs } of heartbeat.digest) {
    const known = entryOf(next.members, incarnation);
    if (known) next = observeMember(next, { ...known.info, beat }, now, ageMs);
  }
  return next;
}

/**
 * Applies the platform's instance list. The list may be out of date, so it only adds addresses to
 * try: a router that is missing from it, or listed as leaving, stays a member while it answers.
 */
export function observeInstanceList(
  state: MembershipState,
  records: readonly InstanceRecord[],
  seeds: readonly string[] = [],
): MembershipState {
  const listed = records
    .filter((record) => record.state === 'live')
    .map((record): ContactPoint => ({ meshUrl: record.url, dataCentre: record.dataCentre }));
  const listedUrls = new Set(listed.map((contact) => contact.meshUrl));
  const others = seeds.filter((url) => !listedUrls.has(url)).map((meshUrl) => ({ meshUrl }));
  return { ...state, contactPoints: [...listed, ...others].slice(0, MAX_ENTRIES) };
}

/**
 * Timer tick: increments the own beat and removes members that have been silent for long.
 *
 * A router whose process was paused received no heartbeats during the pause. It would consider all
 * its peers gone and start to seal them. The pause is therefore subtracted from the silence of all.
 */
export function tickMembership(state: MembershipState, now: EpochMs): MembershipState {
  const gap = now - (state.lastTickAt ?? now);
  const paused = gap > state.settings.suspectMs / 2;
  const members: Record<IncarnationId, KnownMember> = {};
  for (const [incarnation, member] of Object.entries(state.members)) {
    const heardAt = paused ? Math.min(now, member.lastHeardAt + gap) : member.lastHeardAt;
    if (now - heardAt < GONE_MEMBER_TTL_MS)
      setEntry(members, incarnation, { ...member, lastHeardAt: heardAt });
  }
  const self = { ...state.self, beat: state.self.beat + 1 };
  return { ...state, self, members, lastTickAt: now };
}

/**
 * Finds the member of the own data centre, self included, that owns a key. Members that are
 * starting or leaving own a key only if no member is serving.
 *
 * @example
 * resolveLocalOwner(state, 'journal', now).incarnation;
 */
export function resolveLocalOwner(state: MembershipState, key: string, now: EpochMs): MemberInfo {
  const alive = judgeMembers(state, now)
    .filter(({ info, health }) => health === 'alive' && info.dataCentre === state.self.dataCentre)
    .map(({ info }) => info);
  const all = [state.self, ...alive];
  const serving = all.filter((info) => info.state === 'serving');
  const eligible = serving.length > 0 ? serving : all;
  const owner = rendezvousOwner(
    key,
    eligible.map((info) => info.incarnation),
  );
  return eligible.find((info) => info.incarnation === owner) ?? state.self;
}

/**
 * Mesh URLs that receive the heartbeat of this beat. Their number is bounded; other data centres
 * and contact points take turns over the beats.
 */
export function heartbeatTargets(state: MembershipState, now: EpochMs): string[] {
  const living = membersWith(state, ['alive', 'suspect'], now);
  const local = ringSuccessors(
    state,
    living.filter((member) => isLocal(state, member)),
  );
  const urls = [...local, ...remoteTargets(state, living)].map((member) => member.info.meshUrl);
  return [...new Set([...urls, ...contactPointTargets(state, living)])];
}

/**
 * Mesh URLs that need no heartbeat at this beat, because their own heartbeat was answered recently
 * and both sides got the same information. Of two routers that would both send at each beat, the
 * one that ticks later skips its heartbeat, which saves half of the traffic.
 *
 * Failures are still detected: a member gets a heartbeat if none has arrived from it for a part of a
 * beat.
 */
export function recentlyExchanged(
  state: MembershipState,
  heartbeatMs: number,
  now: EpochMs,
): ReadonlySet<string> {
  const members = Object.values(state.members);
  const heardWithin = (member: KnownMember, beats: number): boolean =>
    member.lastDirectAt !== undefined && now - member.lastDirectAt < beats * heartbeatMs;
  const heardCentres = new Set(
    members
      .filter((member) => heardWithin(member, REMOTE_EXCHANGE_BEATS))
      .map((member) => member.info.dataCentre),
  );
  const recent = members.filter((member) =>
    isLocal(state, member)
      ? heardWithin(member, LOCAL_EXCHANGE_BEATS)
      : heardCentres.has(member.info.dataCentre),
  );
  return new Set(recent.map((member) => member.info.meshUrl));
}

/** Composes this beat's heartbeat. */
export function composeHeartbeat(state: MembershipState, now: EpochMs): Heartbeat {
  const living = membersWith(state, ['alive'], now).sort((a, b) =>
    a.info.incarnation < b.info.incarnation ? -1 : 1,
  );
  const { beat } = state.self;
  // the member described in full is rotated separately from the digest. With the step of the
  // digest, a small fleet would always describe the same member, and two routers that have only a
  // third one in common would never learn of each other.
  const introduced = chooseIntroduced(living, beat, now);
  const localCount = living.filter((member) => isLocal(state, member)).length;
  const size = localCount <= FULL_MESH_LIMIT ? MAX_FULL_MESH_DIGEST : MAX_DIGEST;
  const turn = rotate(living, beat * size).slice(0, size);
  const named = [...new Set([...introduced, ...turn])].slice(0, size);
  const digest = named.map(({ info, lastHeardAt: heardAt }) => ({
    incarnation: info.incarnation,
    beat: info.beat,
    ageMs: Math.max(0, now - heardAt),
  }));
  return { info: state.self, digest, members: introduced.map((member) => member.info) };
}

/**
 * The member to describe in full, if any. New members come first: in a large data centre most
 * routers never receive a heartbeat from a new member itself, so others have to relay it.
 */
function chooseIntroduced(living: KnownMember[], beat: number, now: EpochMs): KnownMember[] {
  const fresh = living.filter((member) => now - member.firstHeardAt < NEW_MEMBER_MS);
  if (fresh.length > 0) return rotate(fresh, beat).slice(0, 1);
  if (beat % INTRODUCTION_INTERVAL_BEATS !== 0) return [];
  return rotate(living, beat / INTRODUCTION_INTERVAL_BEATS).slice(0, 1);
}

function membersWith(state: MembershipState, healths: PeerHealth[], now: EpochMs): KnownMember[] {
  return judgeMembers(state, now)
    .filter(({ health }) => healths.includes(health))
    .flatMap(({ info }) => entryOf(state.members, info.incarnation) ?? []);
}

/**
 * Members with room for one more of its data centre. If the limit is reached, the member that has
 * been silent longest is evicted. Undefined if that one is not gone yet.
 */
function evictForNewMember(
  state: MembershipState,
  info: MemberInfo,
  now: EpochMs,
): MembershipState['members'] | undefined {
  const { dataCentre } = info;
  const limit = dataCentre === state.self.dataCentre ? MAX_ENTRIES : MAX_PER_REMOTE_CENTRE;
  const present = Object.values(state.members)
    .filter((member) => member.info.dataCentre === dataCentre)
    .sort((a, b) => a.lastHeardAt - b.lastHeardAt);
  if (present.length < limit) return state.members;
  const oldest = present[0];
  if (!oldest || now - oldest.lastHeardAt < state.settings.goneMs) return undefined;
  const members = { ...state.members };
  Reflect.deleteProperty(members, oldest.info.incarnation);
  return members;
}

function isLocal(state: MembershipState, member: KnownMember): boolean {
  return member.info.dataCentre === state.self.dataCentre;
}

function ringSuccessors(state: MembershipState, local: KnownMember[]): KnownMember[] {
  if (local.length <= FULL_MESH_LIMIT) return local;
  const own = state.self.incarnation;
  const ring = ringOrder([...local.map((member) => member.info.incarnation), own]);
  const successors = rotate(ring, ring.indexOf(own) + 1).slice(0, RING_FANOUT);
  return local.filter((member) => successors.includes(member.info.incarnation));
}

/** One member of each other data centre that is due at this beat. */
function remoteTargets(state: MembershipState, living: KnownMember[]): KnownMember[] {
  const remote = living.filter((member) => !isLocal(state, member));
  const centres = [...new Set(remote.map((member) => member.info.dataCentre))].sort();
  const { beat } = state.self;
  return centres.flatMap((dataCentre, i) => {
    if ((beat + i) % REMOTE_INTERVAL_BEATS !== 0) return [];
    const members = remote.filter((member) => member.info.dataCentre === dataCentre);
    return rotate(members, Math.floor(beat / REMOTE_INTERVAL_BEATS)).slice(0, 1);
  });
}

/**
 * Addresses without a known live member: those of new routers, and of routers that were behind a
 * partition that has healed.
 */
function contactPointTargets(state: MembershipState, living: KnownMember[]): string[] {
  const answering = new Set([state.self.meshUrl, ...living.map((member) => member.info.meshUrl)]);
  const former = Object.values(state.members).map((member) => member.info.meshUrl);
  const urls = [...state.contactPoints.map((contact) => contact.meshUrl), ...former];
  const silent = [...new Set(urls)].filter((url) => !answering.has(url));
  return rotate(silent, state.self.beat * CONTACT_POINTS_PER_BEAT).slice(
    0,
    CONTACT_POINTS_PER_BEAT,
  );
}

function rotate<T>(items: readonly T[], by: number): T[] {
  if (items.length === 0) return [];
  const start = by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
