/**
 * Short form of heartbeats. They are nearly all of the traffic of a fleet at rest, and the names of
 * their members took more bytes than the values.
 */

import type { IncarnationId, MemberInfo } from '@flamingocourse/core';
import type { HeartbeatMessage } from '../types/heartbeat.js';

const states = ['starting', 'serving', 'leaving'] as const satisfies MemberInfo['state'][];

/**
 * A member: incarnation, mesh URL, entry URL, state (0 starting, 1 serving, 2 leaving), beat and
 * revision; then data centre and instance, where the incarnation does not spell them.
 */
export type PackedMember = [
  incarnation: IncarnationId,
  meshUrl: string,
  entryUrl: string,
  state: number,
  beat: number,
  revision: number,
  ...names: string[],
];

/** Incarnation, beat and age in milliseconds. */
export type PackedBeat = [incarnation: IncarnationId, beat: number, ageMs: number];

/** A heartbeat as it is sent. */
export interface PackedHeartbeat {
  /** The sender. */
  i: PackedMember;
  /** Beats of others. */
  d?: PackedBeat[];
  /** Introduced members. */
  m?: PackedMember[];
}

/**
 * Packs a heartbeat.
 *
 * @example
 * await client.call({ meshUrl }, 'heartbeat', packHeartbeat(message));
 */
export function packHeartbeat({ info, digest, members }: HeartbeatMessage): PackedHeartbeat {
  const beats = digest.map(({ incarnation, beat, ageMs }): PackedBeat => [
    incarnation,
    beat,
    ageMs,
  ]);
  return {
    i: packMember(info),
    ...(beats.length > 0 && { d: beats }),
    ...(members.length > 0 && { m: members.map(packMember) }),
  };
}

/** Unpacks a heartbeat; the inverse of {@link packHeartbeat}. */
export function unpackHeartbeat({ i, d = [], m = [] }: PackedHeartbeat): HeartbeatMessage {
  return {
    info: unpackMember(i),
    digest: d.map(([incarnation, beat, ageMs]) => ({ incarnation, beat, ageMs })),
    members: m.map(unpackMember),
  };
}

function packMember(info: MemberInfo): PackedMember {
  const { incarnation, meshUrl, entryUrl, beat, revision, dataCentre, instance } = info;
  const state = states.indexOf(info.state);
  const [spelledCentre, spelledInstance] = splitIncarnation(incarnation);
  const isSpelled = spelledCentre === dataCentre && spelledInstance === instance;
  const names = isSpelled ? [] : [dataCentre, instance];
  return [incarnation, meshUrl, entryUrl, state, beat, revision, ...names];
}

function unpackMember(packed: PackedMember): MemberInfo {
  const [incarnation, meshUrl, entryUrl, state, beat, revision, ...names] = packed;
  const [dataCentre = '', instance = ''] = names.length > 0 ? names : splitIncarnation(incarnation);
  const stateName = states[state] ?? 'starting';
  return { incarnation, dataCentre, instance, meshUrl, entryUrl, state: stateName, beat, revision };
}

/** Data centre and instance of `{dataCentre}/{instance}/{life}`. */
function splitIncarnation(incarnation: IncarnationId): string[] {
  return incarnation.split('/').slice(0, 2);
}
