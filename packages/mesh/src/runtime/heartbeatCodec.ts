/**
 * Compact encoding of heartbeats. They are nearly all of the traffic of an idle fleet, and as JSON
 * objects their field names took more bytes than the values.
 */

import type { IncarnationId, MemberInfo } from '@flamingocourse/core';
import type { HeartbeatMessage } from '../types/heartbeat.js';

const states = ['starting', 'serving', 'leaving'] as const satisfies MemberInfo['state'][];

/**
 * A member: incarnation, mesh URL, entry URL, state (0 starting, 1 serving, 2 leaving), beat and
 * revision; then data centre and instance, unless both can be read from the incarnation.
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

/** A heartbeat in its encoding on the wire. */
export interface PackedHeartbeat {
  /** The sender. */
  i: PackedMember;
  /** Beats of other members. */
  d?: PackedBeat[];
  /** Members that the receiver may not know. */
  m?: PackedMember[];
}

/**
 * Encodes a heartbeat.
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

/** Decodes a heartbeat; the inverse of {@link packHeartbeat}. */
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
  const [impliedDataCentre, impliedInstance] = splitIncarnation(incarnation);
  const areNamesImplied = impliedDataCentre === dataCentre && impliedInstance === instance;
  const names = areNamesImplied ? [] : [dataCentre, instance];
  return [incarnation, meshUrl, entryUrl, state, beat, revision, ...names];
}

function unpackMember(packed: PackedMember): MemberInfo {
  const [incarnation, meshUrl, entryUrl, state, beat, revision, ...names] = packed;
  const [dataCentre = '', instance = ''] = names.length > 0 ? names : splitIncarnation(incarnation);
  const stateName = states[state] ?? 'starting';
  return { incarnation, dataCentre, instance, meshUrl, entryUrl, state: stateName, beat, revision };
}

/** Data centre and instance of an incarnation `{dataCentre}/{instance}/{id of the start}`. */
function splitIncarnation(incarnation: IncarnationId): string[] {
  return incarnation.split('/').slice(0, 2);
}
