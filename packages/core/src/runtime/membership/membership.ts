/**
 * Which routers of the fleet this router takes as alive. A reducer over heartbeats, the lagging
 * instance list and the passing of time. Judgements are hints: nothing safe depends on them.
 */

import type { EpochMs, IncarnationId } from '../../types/ids.js';
import type { InstanceRecord, MemberInfo, PeerHealth } from '../../types/member.js';
import type {
  Contact,
  KnownMember,
  MembershipSettings,
  MembershipState,
} from '../../types/membership.js';
import { rendezvousOwner } from '../../utils/hash.js';
import { FULL_MESH_LIMIT, judgeMembers, RING_FANOUT, ringOrder } from './memberHealth.js';

/** Second-hand evidence that a member lives. */
export interface DigestEntry {
  incarnation: IncarnationId;
  beat: number;
  /** Milliseconds since the sender had evidence. */
  ageMs: number;
}

/** What one router tells another at each beat. Its size is bounded, however large the fleet. */
export interface Heartbeat {
  info: MemberInfo;
  digest: DigestEntry[];
  /** Members that the receiver may not know. */
  members: MemberInfo[];
}

/** Beats between heartbeats to each other data centre. */
const REMOTE_EVERY_BEATS = 4;
/** Unknown addresses tried at each beat. */
const CONTACTS_PER_BEAT = 2;
const MAX_DIGEST = 6;
/** Digest of a router that sends to all its local peers itself; only news from elsewhere is left. */
const MAX_FULL_MESH_DIGEST = 3;
/** Part of a beat within which an exchange with a local peer makes another one needless. */
const LOCAL_EXCHANGE_BEATS = 0.6;
/** Beats within which an exchange with another data centre makes another one needless. */
const REMOTE_EXCHANGE_BEATS = 2;
/** Beats between introductions of a member. */
const INTRODUCE_EVERY_BEATS = 4;
/** How long a member counts as new, and is introduced before others and at every beat. */
const NEW_MEMBER_MS = 10_000;
/** How long a member that is gone is remembered, so that it can be found again. */
const FORGET_MS = 10 * 60_000;
/** Members kept of each other data centre; enough to hear of it, however many it has. */
const MAX_PER_REMOTE_CENTRE = 16;
/** Bound on members of the own data centre and on contacts. */
const MAX_ENTRIES = 1_024;

/**
 * A router that knows only itself and its configured contacts.
 *
 * @example
 * let state = createMembership(self, { suspectMs: 2_000, goneMs: 4_000 }, seeds);
 */
export function createMembership(
  self: MemberInfo,
  settings: MembershipSettings,
  seeds: readonly string[] = [],
): MembershipState {
  const contacts = seeds.map((meshUrl) => ({ meshUrl }));
  return { self, settings, members: {}, contacts };
}

/** Changes what this router says about itself. A new incarnation starts at the next beat. */
export function updateSelf(state: MembershipState, change: Partial<MemberInfo>): MembershipState {
  return { ...state, self: { ...state.self, ...change } };
}

/**
 * Takes in what a member says about itself, at first hand (`ageMs` 0) or through another.
 *
 * Only a higher beat is evidence of life: a heartbeat that was delayed in the network, or kept by a
 * peer, would otherwise revive a router that has died and make others wait for it.
 */
export function observeMember(
  state: MembershipState,
  info: MemberInfo,
  now: EpochMs,
  ageMs = 0,
): MembershipState {
  if (info.incarnation === state.self.incarnation) return state;
  const known = state.members[info.incarnation];
  if (known && info.beat <= known.info.beat) return state;
  const members = known ? state.members : makeRoom(state, info, now);
  if (!members) return state;
  const heardAt = Math.max(known?.heardAt ?? 0, now - ageMs);
  const directAt = ageMs === 0 ? now : known?.directAt;
  const member = {
    info,
    firstHeardAt: known?.firstHeardAt ?? heardAt,
    heardAt,
    ...(directAt !== undefined && { directAt }),
  };
  return { ...state, members: { ...members, [info.incarnation]: member } };
}

/** Takes in a whole heartbeat. */
export function observeHeartbeat(
  state: MembershipState,
  heartbeat: Heartbeat,
  now: EpochMs,
): MembershipState {
  const ages = new Map(heartbeat.digest.map((entry) => [entry.incarnation, entry.ageMs]));
  let next = observeMember(state, heartbeat.info, now);
  for (const info of heartbeat.members) {
    const ageMs = ages.get(info.incarnation);
    // without an age nothing says that the member still lives.
    if (ageMs !== undefined) next = observeMember(next, info, now, ageMs);
  }
  for (const { incarnation, beat, ageMs } of heartbeat.digest) {
    const known = next.members[incarnation];
    if (known) next = observeMember(next, { ...known.info, beat }, now, ageMs);
  }
  return next;
}

/**
 * Takes in the platform's instance list. It lags, so it only adds addresses to try: a router that
 * it no longer has, or shows as leaving, stays a member while it answers.
 */
export function observeInstanceList(
  state: MembershipState,
  records: readonly InstanceRecord[],
  seeds: readonly string[] = [],
): MembershipState {
  const listed = records
    .filter((record) => record.state === 'live')
    .map((record): Contact => ({ meshUrl: record.url, dataCentre: record.dataCentre }));
  const listedUrls = new Set(listed.map((contact) => contact.meshUrl));
  const others = seeds.filter((url) => !listedUrls.has(url)).map((meshUrl) => ({ meshUrl }));
  return { ...state, contacts: [...listed, ...others].slice(0, MAX_ENTRIES) };
}

/**
 * Lets time pass: raises the own beat and forgets members that are long gone.
 *
 * A router that was paused has heard nobody meanwhile, and would take all its peers as gone and
 * start to seal them. Its own gap is therefore taken off the silence of all.
 */
export function tickMembership(state: MembershipState, now: EpochMs): MembershipState {
  const gap = now - (state.lastTickAt ?? now);
  const paused = gap > state.settings.suspectMs / 2;
  const members: Record<IncarnationId, KnownMember> = {};
  for (const [incarnation, member] of Object.entries(state.members)) {
    const heardAt = paused ? Math.min(now, member.heardAt + gap) : member.heardAt;
    if (now - heardAt < FORGET_MS) members[incarnation] = { ...member, heardAt };
  }
  const self = { ...state.self, beat: state.self.beat + 1 };
  return { ...state, self, members, lastTickAt: now };
}

/**
 * Member of the own data centre, self included, that a key maps to. Members that stop or are only
 * starting own nothing while another can.
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

/** Mesh URLs that get this beat's heartbeat; bounded, and spread over the beats. */
export function heartbeatTargets(state: MembershipState, now: EpochMs): string[] {
  const living = membersWith(state, ['alive', 'suspect'], now);
  const local = ringSuccessors(
    state,
    living.filter((member) => isLocal(state, member)),
  );
  const urls = [...local, ...remoteTargets(state, living)].map((member) => member.info.meshUrl);
  return [...new Set([...urls, ...contactTargets(state, living)])];
}

/**
 * Mesh URLs among the targets with which nothing has to be exchanged at this beat, because their own
 * heartbeat was answered a moment ago and told both sides as much. Of two routers that both send
 * each beat the one whose beat comes later so falls silent, and half of the traffic is saved.
 *
 * Nobody's silence goes unnoticed by this: who has not been heard for a part of a beat is sent to.
 */
export function recentlyExchanged(
  state: MembershipState,
  heartbeatMs: number,
  now: EpochMs,
): ReadonlySet<string> {
  const members = Object.values(state.members);
  const heardWithin = (member: KnownMember, beats: number): boolean =>
    member.directAt !== undefined && now - member.directAt < beats * heartbeatMs;
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
  // the introduction has its own rotation: by the digest's step a small fleet would introduce the
  // same member for ever, and routers that know only a third would never meet.
  const introduced = introduce(living, beat, now);
  const localCount = living.filter((member) => isLocal(state, member)).length;
  const size = localCount <= FULL_MESH_LIMIT ? MAX_FULL_MESH_DIGEST : MAX_DIGEST;
  const turn = rotate(living, beat * size).slice(0, size);
  const named = [...new Set([...introduced, ...turn])].slice(0, size);
  const digest = named.map(({ info, heardAt }) => ({
    incarnation: info.incarnation,
    beat: info.beat,
    ageMs: Math.max(0, now - heardAt),
  }));
  return { info: state.self, digest, members: introduced.map((member) => member.info) };
}

/**
 * The member to describe in full, if any. News of a new one has to pass through many routers of a
 * large data centre, in which most of them are never told by itself.
 */
function introduce(living: KnownMember[], beat: number, now: EpochMs): KnownMember[] {
  const fresh = living.filter((member) => now - member.firstHeardAt < NEW_MEMBER_MS);
  if (fresh.length > 0) return rotate(fresh, beat).slice(0, 1);
  if (beat % INTRODUCE_EVERY_BEATS !== 0) return [];
  return rotate(living, beat / INTRODUCE_EVERY_BEATS).slice(0, 1);
}

function membersWith(state: MembershipState, healths: PeerHealth[], now: EpochMs): KnownMember[] {
  return judgeMembers(state, now)
    .filter(({ health }) => healths.includes(health))
    .flatMap(({ info }) => state.members[info.incarnation] ?? []);
}

/** Members with room for one more of a data centre; the longest silent one goes for it. */
function makeRoom(
  state: MembershipState,
  info: MemberInfo,
  now: EpochMs,
): MembershipState['members'] | undefined {
  const { dataCentre } = info;
  const limit = dataCentre === state.self.dataCentre ? MAX_ENTRIES : MAX_PER_REMOTE_CENTRE;
  const present = Object.values(state.members)
    .filter((member) => member.info.dataCentre === dataCentre)
    .sort((a, b) => a.heardAt - b.heardAt);
  if (present.length < limit) return state.members;
  const oldest = present[0];
  if (!oldest || now - oldest.heardAt < state.settings.goneMs) return undefined;
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

/** One member in each other data centre whose turn it is at this beat. */
function remoteTargets(state: MembershipState, living: KnownMember[]): KnownMember[] {
  const remote = living.filter((member) => !isLocal(state, member));
  const centres = [...new Set(remote.map((member) => member.info.dataCentre))].sort();
  const { beat } = state.self;
  return centres.flatMap((dataCentre, i) => {
    if ((beat + i) % REMOTE_EVERY_BEATS !== 0) return [];
    const members = remote.filter((member) => member.info.dataCentre === dataCentre);
    return rotate(members, Math.floor(beat / REMOTE_EVERY_BEATS)).slice(0, 1);
  });
}

/** Addresses where nobody is known to answer: new routers, and those behind a healed partition. */
function contactTargets(state: MembershipState, living: KnownMember[]): string[] {
  const answering = new Set([state.self.meshUrl, ...living.map((member) => member.info.meshUrl)]);
  const former = Object.values(state.members).map((member) => member.info.meshUrl);
  const urls = [...state.contacts.map((contact) => contact.meshUrl), ...former];
  const silent = [...new Set(urls)].filter((url) => !answering.has(url));
  return rotate(silent, state.self.beat * CONTACTS_PER_BEAT).slice(0, CONTACTS_PER_BEAT);
}

function rotate<T>(items: readonly T[], by: number): T[] {
  if (items.length === 0) return [];
  const start = by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
