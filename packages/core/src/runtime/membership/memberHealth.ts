/** Failure detector: derives the health of peers from the time since their last heartbeat. */

import type { EpochMs, IncarnationId } from '../../types/ids.js';
import type { MemberInfo, PeerHealth } from '../../types/member.js';
import type { KnownMember, MembershipState } from '../../types/membership.js';
import { hash32 } from '../../utils/hash.js';

/** Maximum number of local peers at which each router sends heartbeats to all of them. */
export const FULL_MESH_LIMIT = 6;
/** Number of ring successors that receive a heartbeat in a larger data centre. */
export const RING_FANOUT = 4;
/** Factor on the timeouts for members whose heartbeats arrive only through other members. */
const INDIRECT_TIMEOUT_FACTOR = 5;

/** A peer and its health as this router sees it. */
export interface JudgedMember {
  info: MemberInfo;
  health: PeerHealth;
}

/**
 * Determines the health of all peers.
 *
 * @example
 * const alive = judgeMembers(state, now).filter((peer) => peer.health === 'alive');
 */
export function judgeMembers(state: MembershipState, now: EpochMs): JudgedMember[] {
  const asOf = silenceReferenceTime(state, now);
  const direct = findDirectSenders(state);
  const incarnations = groupByInstance(state);
  return Object.values(state.members).map((member) => {
    const { info } = member;
    const timeoutFactor = direct.has(info.incarnation) ? 1 : INDIRECT_TIMEOUT_FACTOR;
    const others = incarnations.get(instanceKey(info)) ?? [];
    const superseded =
      instanceKey(info) === instanceKey(state.self) || isSuperseded(member, others);
    const health = superseded
      ? 'gone'
      : healthForSilence(state, asOf - member.lastHeardAt, timeoutFactor);
    return { info, health };
  });
}

/** Determines the health of one peer; an unknown peer is `'gone'`. */
export function judgeMember(
  state: MembershipState,
  incarnation: IncarnationId,
  now: EpochMs,
): PeerHealth {
  const judged = judgeMembers(state, now);
  return judged.find((peer) => peer.info.incarnation === incarnation)?.health ?? 'gone';
}

/** Order of the members of a data centre on the ring; every member computes the same order. */
export function ringOrder(ids: IncarnationId[]): IncarnationId[] {
  const ranked = ids.map((id) => ({ id, rank: hash32(id) }));
  return ranked.sort((a, b) => a.rank - b.rank || (a.id < b.id ? -1 : 1)).map(({ id }) => id);
}

/**
 * Time up to which the silence of peers is measured.
 *
 * A router whose process was paused received no heartbeats during the pause. After it resumes, a
 * request or a timer of another service can run before the membership tick. Measured against the
 * clock, all peers would then be gone, and the router would seal them and take over their duties.
 * While its own tick is overdue, silence is therefore measured up to the last tick, until which the
 * router did receive heartbeats. This is safe because each tick subtracts the pause from the
 * silence of all peers before it updates `lastTickAt`, and because the interval between the ticks
 * of a running router is below `suspectMs / 2` (1,000 and 1,250 ms by default).
 */
function silenceReferenceTime({ lastTickAt, settings }: MembershipState, now: EpochMs): EpochMs {
  if (lastTickAt === undefined) return now;
  return now - lastTickAt > settings.suspectMs / 2 ? lastTickAt : now;
}

function healthForSilence(
  state: MembershipState,
  silence: number,
  timeoutFactor: number,
): PeerHealth {
  const { goneMs, suspectMs } = state.settings;
  if (silence >= goneMs * timeoutFactor) return 'gone';
  return silence >= suspectMs * timeoutFactor ? 'suspect' : 'alive';
}

/**
 * Whether a later incarnation of the same instance has replaced a member. There must be evidence of
 * the later one that is newer than its first: a single delayed heartbeat of an old incarnation must
 * not replace the current one.
 */
function isSuperseded(member: KnownMember, incarnations: KnownMember[]): boolean {
  return incarnations.some(
    (other) => other.firstHeardAt > member.lastHeardAt && other.lastHeardAt > other.firstHeardAt,
  );
}

function groupByInstance(state: MembershipState): Map<string, KnownMember[]> {
  const groups = new Map<string, KnownMember[]>();
  for (const member of Object.values(state.members)) {
    const key = instanceKey(member.info);
    groups.set(key, [...(groups.get(key) ?? []), member]);
  }
  return groups;
}

function instanceKey(info: MemberInfo): string {
  return `${info.dataCentre}/${info.instance}`;
}

/**
 * Members that send heartbeats directly to this router: ring predecessors, or all local members.
 */
function findDirectSenders(state: MembershipState): ReadonlySet<IncarnationId> {
  const own = state.self.incarnation;
  const local = Object.values(state.members)
    .filter((member) => member.info.dataCentre === state.self.dataCentre)
    .map((member) => member.info.incarnation);
  if (local.length <= FULL_MESH_LIMIT) return new Set(local);
  const ring = ringOrder([...local, own]);
  const position = ring.indexOf(own);
  const twice = [...ring, ...ring];
  return new Set(twice.slice(position + ring.length - RING_FANOUT, position + ring.length));
}
