/** Judgement of peers by their silence. */

import type { EpochMs, IncarnationId } from '../../types/ids.js';
import type { MemberInfo, PeerHealth } from '../../types/member.js';
import type { KnownMember, MembershipState } from '../../types/membership.js';
import { hash32 } from '../../utils/hash.js';

/** Local peers up to which every router sends to every other in its data centre. */
export const FULL_MESH_LIMIT = 6;
/** Ring successors that get a heartbeat in a larger data centre. */
export const RING_FANOUT = 4;
/** Factor on the times of silence for members whose life is learned second-hand. */
const INDIRECT_PATIENCE = 5;

/** A peer with this router's judgement. */
export interface JudgedMember {
  info: MemberInfo;
  health: PeerHealth;
}

/**
 * Judges all peers.
 *
 * @example
 * const alive = judgeMembers(state, now).filter((peer) => peer.health === 'alive');
 */
export function judgeMembers(state: MembershipState, now: EpochMs): JudgedMember[] {
  const asOf = judgementTime(state, now);
  const direct = findDirectSenders(state);
  const lives = groupByInstance(state);
  return Object.values(state.members).map((member) => {
    const { info } = member;
    const patience = direct.has(info.incarnation) ? 1 : INDIRECT_PATIENCE;
    const others = lives.get(instanceKey(info)) ?? [];
    const superseded =
      instanceKey(info) === instanceKey(state.self) || isSuperseded(member, others);
    const health = superseded ? 'gone' : judgeSilence(state, asOf - member.heardAt, patience);
    return { info, health };
  });
}

/** Judges one peer; an unknown one is gone. */
export function judgeMember(
  state: MembershipState,
  incarnation: IncarnationId,
  now: EpochMs,
): PeerHealth {
  const judged = judgeMembers(state, now);
  return judged.find((peer) => peer.info.incarnation === incarnation)?.health ?? 'gone';
}

/** Order of the members of a data centre on the ring; the same at each of them. */
export function ringOrder(ids: IncarnationId[]): IncarnationId[] {
  const ranked = ids.map((id) => ({ id, rank: hash32(id) }));
  return ranked.sort((a, b) => a.rank - b.rank || (a.id < b.id ? -1 : 1)).map(({ id }) => id);
}

/**
 * Time as of which silence counts.
 *
 * A router that was paused has heard nobody meanwhile. A request or a timer of another service can
 * run before its own tick when it wakes; judged by the clock, all peers would be gone then, and it
 * would seal them and take their duties. So while its own tick is overdue it judges as of its last
 * tick, up to which it did listen. The guard holds because each tick takes the pause off everyone's
 * silence before it moves that time on, and because a router that runs ticks far more often.
 */
function judgementTime({ lastTickAt, settings }: MembershipState, now: EpochMs): EpochMs {
  if (lastTickAt === undefined) return now;
  return now - lastTickAt > settings.suspectMs / 2 ? lastTickAt : now;
}

function judgeSilence(state: MembershipState, silence: number, patience: number): PeerHealth {
  const { goneMs, suspectMs } = state.settings;
  if (silence >= goneMs * patience) return 'gone';
  return silence >= suspectMs * patience ? 'suspect' : 'alive';
}

/**
 * Whether a later life of the same instance has taken a member's place. The later one must have
 * been heard repeatedly: a first heartbeat of an old life can arrive late and must not end the
 * present one.
 */
function isSuperseded(member: KnownMember, lives: KnownMember[]): boolean {
  return lives.some(
    (other) => other.firstHeardAt > member.heardAt && other.heardAt > other.firstHeardAt,
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

/** Members that send their heartbeats to this router itself: ring predecessors, or all local ones. */
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
