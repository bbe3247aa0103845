/** Compact form of sums for messages between instances, and its schema. */

import type {
  ConditionSums,
  DataCentreCondition,
  InstanceCondition,
  RoomByImportance,
  ServiceDemand,
} from '../../types/fleetConditions.js';
import { z } from 'zod';
import {
  MAX_NAMED_ACCOUNTS,
  MAX_REPORTED_SERVICES,
  importances,
  isReportedName,
  noRoom,
} from './demandSums.js';
import { pressureLevels } from './pressureLevels.js';

/** Instances that one message names; most of them have little pressure and need no name. */
export const MAX_NAMED_PEERS = 32;
const MAX_DATA_CENTRES = 32;
const MAX_NAME_LENGTH = 300;
/** Digits of a number of slots; two digits are more exact than any demand is measured. */
const PRECISION = 2;

const name = z.string().min(1).max(MAX_NAME_LENGTH);
/** Requests without an account are under the empty name. */
const accountName = z.string().max(MAX_NAME_LENGTH);
const amount = z.number().min(0);
const count = z.number().int().min(0);
const level = z.number().int().min(0).max(2);
const scope = z.enum(['members', 'data-centre', 'fleet']);
/** Room by importance, without the zeros at its end. */
const room = z.array(amount).max(importances.length);

/** Schema of a message. The number of its entries is bounded. */
export const packedSumsSchema = z.object({
  from: name,
  in: name,
  of: scope,
  age: amount,
  /** Data centre, instances by pressure, ready ones, age. */
  dcs: z.array(z.tuple([name, count, count, count, count, amount])).max(MAX_DATA_CENTRES),
  /** A name alone stands for an instance that is calm and ready, whose age is that of the sums. */
  peers: z.array(z.union([name, z.tuple([name, level, z.boolean(), amount])])).max(MAX_NAMED_PEERS),
  /** Service, served room, lateness, whether it is crowded, named accounts, other accounts and their room. */
  demand: z
    .array(
      z.tuple([
        name,
        amount,
        amount,
        z.boolean(),
        z.array(z.tuple([accountName, room])),
        count,
        room,
      ]),
    )
    .max(MAX_REPORTED_SERVICES)
    .refine((services) => services.every(([, , , , named]) => named.length <= MAX_NAMED_ACCOUNTS)),
});

/** Message between instances. */
export type PackedSums = z.infer<typeof packedSumsSchema>;

/** Length of a message without entries, with the headers of HTTP. */
const MESSAGE_BYTES = 250;

/**
 * Packs sums that are already bounded.
 *
 * @example
 * JSON.stringify(packSums(sums)).length; // about 600 with 24 accounts
 */
export function packSums(sums: ConditionSums): PackedSums {
  return {
    from: sums.from,
    in: sums.dataCentre,
    of: sums.scope,
    age: Math.round(sums.ageMs),
    dcs: sums.dataCentres
      .filter(({ dataCentre }) => isReportedName(dataCentre))
      .slice(0, MAX_DATA_CENTRES)
      .map(packDataCentre),
    peers: sums.peers
      .filter(({ instance }) => isReportedName(instance))
      .slice(0, MAX_NAMED_PEERS)
      .map(packPeer),
    demand: Object.entries(sums.demand).map(([service, each]) => packDemand(service, each)),
  };
}

/** Inverse of {@link packSums}. */
export function unpackSums(packed: PackedSums): ConditionSums {
  return {
    from: packed.from,
    dataCentre: packed.in,
    scope: packed.of,
    ageMs: packed.age,
    dataCentres: packed.dcs.map(([dataCentre, calm, pressed, overloaded, ready, ageMs]) => {
      return { dataCentre, instances: { calm, pressed, overloaded }, ready, ageMs };
    }),
    peers: packed.peers.map(unpackPeer),
    demand: Object.fromEntries(packed.demand.map(unpackDemand)),
  };
}

/**
 * Approximate length of packed sums and of the headers of their message, in bytes; names of instances
 * and accounts count with their usual length.
 *
 * @example
 * estimatedBytes(sums); // 700
 */
export function estimatedBytes({ dataCentres, peers, demand }: ConditionSums): number {
  const accounts = Object.values(demand).map((each) => Object.keys(each.accounts).length);
  const named = accounts.reduce((sum, each) => sum + each, 0);
  const entries = 40 * dataCentres.length + 14 * peers.length + 50 * accounts.length + 20 * named;
  return MESSAGE_BYTES + entries;
}

function packDataCentre(condition: DataCentreCondition): PackedSums['dcs'][number] {
  const { dataCentre, instances, ready, ageMs } = condition;
  const { calm, pressed, overloaded } = instances;
  return [dataCentre, calm, pressed, overloaded, ready, Math.round(ageMs)];
}

function packPeer({ instance, pressure, ready, ageMs }: InstanceCondition) {
  if (pressure === 'calm' && ready) return instance;
  const packed: PackedSums['peers'][number] = [
    instance,
    pressureLevels.indexOf(pressure),
    ready,
    Math.round(ageMs),
  ];
  return packed;
}

function unpackPeer(peer: PackedSums['peers'][number]): InstanceCondition {
  if (typeof peer === 'string') return { instance: peer, pressure: 'calm', ready: true, ageMs: 0 };
  const [instance, at, ready, age] = peer;
  return { instance, pressure: pressureLevels[at] ?? 'calm', ready, ageMs: age };
}

function packDemand(
  service: string,
  { accounts, rest, served, lateness, crowded }: ServiceDemand,
): PackedSums['demand'][number] {
  const named = Object.entries(accounts).map(([account, each]): [string, number[]] => {
    return [account, packRoom(each)];
  });
  return [
    service,
    rounded(served),
    rounded(lateness),
    crowded,
    named,
    rest.accounts,
    packRoom(rest.room),
  ];
}

function unpackDemand([
  service,
  served,
  lateness,
  crowded,
  named,
  accounts,
  others,
]: PackedSums['demand'][number]): [string, ServiceDemand] {
  const rooms = named.map(([account, each]) => [account, unpackRoom(each)] as const);
  const rest = { accounts, room: unpackRoom(others) };
  return [service, { accounts: Object.fromEntries(rooms), rest, served, lateness, crowded }];
}

function packRoom(unpacked: RoomByImportance): number[] {
  const packed = importances.map((importance) => rounded(unpacked[importance]));
  return packed.slice(0, packed.findLastIndex((each) => each > 0) + 1);
}

function unpackRoom(packed: readonly number[]): RoomByImportance {
  const unpacked = noRoom();
  for (const [at, importance] of importances.entries()) unpacked[importance] = packed[at] ?? 0;
  return unpacked;
}

function rounded(value: number): number {
  return value < 0.001 ? 0 : Number(value.toPrecision(PRECISION + 1));
}
