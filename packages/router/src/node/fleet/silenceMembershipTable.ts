/** Membership by silence: peers are judged by the time since their beat last rose. */

import type { EpochMs, IncarnationId, InstanceRecord, MemberInfo } from '@flamingocourse/core';
import type { HeartbeatMessage } from '@flamingocourse/mesh';
import type { Peer } from '../../types/fleet.js';
import { MembershipTable } from './membershipTable.js';
import { findOwner } from './rendezvous.js';

/** Settings of the table. */
export interface SilenceOptions {
  seeds: readonly string[];
  /** Silence after which a peer is suspect, in milliseconds. */
  suspectMs: number;
  /** Silence after which a peer is gone, in milliseconds. */
  goneMs: number;
}

interface KnownMember {
  info: MemberInfo;
  heardAt: EpochMs;
}

/** Members of the own data centre that get one beat's heartbeat. */
const maxLocalTargets = 6;
/** Beats between heartbeats to each other data centre. */
const remoteEveryBeats = 4;
/** Addresses without a living member that are tried at one beat. */
const maxContactTargets = 2;
/** Silence of a member elsewhere, heard of seldom and mostly through others, weighs this much less. */
const remotePatience = 4;
/** Members named in one heartbeat. */
const maxDigest = 8;
/** Members described in full in one heartbeat. */
const maxIntroduced = 1;
/** Members and addresses kept. */
const maxEntries = 512;
/** How long a gone member is remembered, so that late messages about it change nothing. */
const forgetMs = 600_000;

/** Table for small fleets; messages are bounded also in larger ones. */
export class SilenceMembershipTable extends MembershipTable {
  readonly #options: SilenceOptions;
  readonly #members = new Map<IncarnationId, KnownMember>();
  #contacts: string[] = [];
  #self: MemberInfo;
  #tickedAt: EpochMs | undefined;

  constructor(self: MemberInfo, options: SilenceOptions) {
    super();
    this.#self = self;
    this.#options = options;
  }

  override get self(): MemberInfo {
    return this.#self;
  }

  override updateSelf(change: Partial<MemberInfo>): void {
    this.#self = { ...this.#self, ...change };
  }

  override observe(message: HeartbeatMessage, now: EpochMs): void {
    this.#observeMember(message.info, now);
    const ages = new Map(message.digest.map(({ incarnation, ageMs }) => [incarnation, ageMs]));
    for (const info of message.members) {
      const ageMs = ages.get(info.incarnation);
      if (ageMs !== undefined) this.#observeMember(info, now - ageMs);
    }
    for (const { incarnation, beat, ageMs } of message.digest) {
      const known = this.#members.get(incarnation);
      if (known) this.#observeMember({ ...known.info, beat }, now - ageMs);
    }
  }

  override observeInstances(records: readonly InstanceRecord[]): void {
    this.#contacts = records
      .filter(({ state }) => state === 'live')
      .map(({ url }) => url)
      .slice(0, maxEntries);
  }

  override tick(now: EpochMs): void {
    // the time of a pause does not count as silence; see #judgementTime.
    const pause = now - this.#judgementTime(now);
    for (const [incarnation, member] of this.#members) {
      member.heardAt = Math.min(now, member.heardAt + pause);
      if (now - member.heardAt > forgetMs) this.#members.delete(incarnation);
    }
    this.#tickedAt = now;
    this.#self = { ...this.#self, beat: this.#self.beat + 1 };
  }

  override peers(now: EpochMs): Peer[] {
    const asOf = this.#judgementTime(now);
    return [...this.#members.values()].map(({ info, heardAt }) => ({
      info,
      health: this.#judge(info, asOf - heardAt),
    }));
  }

  override targets(now: EpochMs): string[] {
    const { beat, dataCentre } = this.#self;
    const living = this.#living(now, ['alive', 'suspect']);
    const local = living.filter((info) => info.dataCentre === dataCentre);
    const remote = living.filter((info) => info.dataCentre !== dataCentre);
    const turn = rotate(local, beat * maxLocalTargets).slice(0, maxLocalTargets);
    const urls = [...turn, ...this.#remoteTurn(remote)].map(({ meshUrl }) => meshUrl);
    return [...urls, ...this.#silentContacts(living)];
  }

  override compose(now: EpochMs): HeartbeatMessage {
    const { beat } = this.#self;
    const living = this.#living(now, ['alive']);
    const members = rotate(living, beat * maxIntroduced).slice(0, maxIntroduced);
    const turn = rotate(living, beat * maxDigest).slice(0, maxDigest);
    const named = [...new Set([...members, ...turn])].slice(0, maxDigest);
    const digest = named.map(({ incarnation, beat: heard }) => {
      const heardAt = this.#members.get(incarnation)?.heardAt ?? now;
      return { incarnation, beat: heard, ageMs: Math.max(0, now - heardAt) };
    });
    return { info: this.#self, digest, members };
  }

  override localOwner(key: string, now: EpochMs): MemberInfo {
    const alive = this.peers(now).filter(
      ({ info, health }) => health === 'alive' && info.dataCentre === this.#self.dataCentre,
    );
    const all = [this.#self, ...alive.map(({ info }) => info)];
    const serving = all.filter(({ state }) => state === 'serving');
    const eligible = serving.length > 0 ? serving : all;
    const owner = findOwner(
      key,
      eligible.map(({ incarnation }) => incarnation),
    );
    return eligible.find(({ incarnation }) => incarnation === owner) ?? this.#self;
  }

  /**
   * Only a higher beat is evidence of life: a heartbeat that was delayed, or is passed on by a peer,
   * would otherwise revive a router that has died.
   */
  #observeMember(info: MemberInfo, heardAt: EpochMs): void {
    if (info.incarnation === this.#self.incarnation) return;
    const known = this.#members.get(info.incarnation);
    if (known && info.beat <= known.info.beat) return;
    if (!known && this.#members.size >= maxEntries) return;
    const latest = Math.max(known?.heardAt ?? 0, heardAt);
    this.#members.set(info.incarnation, { info, heardAt: latest });
  }

  /**
   * A router that was paused has heard nobody meanwhile. When it wakes it would take all peers as gone
   * and begin to seal them, so while its own tick is overdue it judges as of its last tick.
   */
  #judgementTime(now: EpochMs): EpochMs {
    const tickedAt = this.#tickedAt ?? now;
    return now - tickedAt > this.#options.suspectMs / 2 ? tickedAt : now;
  }

  #judge(info: MemberInfo, silence: number): Peer['health'] {
    const patience = info.dataCentre === this.#self.dataCentre ? 1 : remotePatience;
    if (silence >= this.#options.goneMs * patience) return 'gone';
    return silence >= this.#options.suspectMs * patience ? 'suspect' : 'alive';
  }

  #living(now: EpochMs, healths: Peer['health'][]): MemberInfo[] {
    return this.peers(now)
      .filter(({ health }) => healths.includes(health))
      .map(({ info }) => info);
  }

  /** One member of each other data centre whose turn it is at this beat. */
  #remoteTurn(remote: MemberInfo[]): MemberInfo[] {
    const { beat } = this.#self;
    const centres = [...new Set(remote.map(({ dataCentre }) => dataCentre))].sort();
    return centres.flatMap((dataCentre, i) => {
      if ((beat + i) % remoteEveryBeats !== 0) return [];
      const members = remote.filter((info) => info.dataCentre === dataCentre);
      return rotate(members, Math.floor(beat / remoteEveryBeats)).slice(0, 1);
    });
  }

  /** Addresses where nobody is known to live: new routers, and those behind a healed partition. */
  #silentContacts(living: MemberInfo[]): string[] {
    const answering = new Set(living.map(({ meshUrl }) => meshUrl)).add(this.#self.meshUrl);
    const former = [...this.#members.values()].map(({ info }) => info.meshUrl);
    const urls = new Set([...this.#options.seeds, ...this.#contacts, ...former]);
    const silent = [...urls].filter((url) => !answering.has(url));
    return rotate(silent, this.#self.beat * maxContactTargets).slice(0, maxContactTargets);
  }
}

function rotate<T>(items: T[], by: number): T[] {
  if (items.length === 0) return [];
  const start = by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
