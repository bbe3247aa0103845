/** Stand-in for the platform: an object store and instance list with one listener per data centre. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { EntranceFaults } from './entranceFaults.js';
import type { StandInShared } from './entrance.js';
import { entryOf, setEntry } from '@flamingocourse/core';
import { ObjectTable } from '@flamingocourse/store';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createControlHandler } from './controlHandler.js';
import { Entrance } from './entrance.js';
import { LaggingInstances } from './laggingInstances.js';
import { createRateLimit } from './rateLimit.js';

/** Name of the entrance for operators and control requests. */
export const operatorsEntrance = 'operators';

/** Options of the stand-in. */
export interface PlatformStandInOptions {
  /** Port for each data centre; 0 selects a free one. */
  listenPorts: Record<string, number>;
  /** @default 0 */
  operatorsPort?: number;
  /** @default '127.0.0.1' */
  host?: string;
  /** Seed of the random faults. @default 1 */
  seed?: number;
  /** @default 2000 */
  readsPerSecond?: number;
  /** @default 400 */
  writesPerSecond?: number;
  /** Delay of changes to the instance list, in milliseconds. @default 1000 */
  instanceLagMs?: number;
  /** Number of past changes from which a watch can resume. @default 1000 */
  historyLength?: number;
  /** @default 1048576 */
  maxValueBytes?: number;
  /** Interval between bookmarks on a watch, in milliseconds. @default 1000 */
  bookmarkMs?: number;
}

/** Response of `GET /control/state`. */
export interface StandInState {
  version: string;
  collections: ReturnType<ObjectTable['dump']>;
  instances: InstanceRecord[];
  entrances: Record<
    string,
    { faults: EntranceFaults; counters: Entrance['counters']; openWatches: number }
  >;
}

/** A running stand-in. */
export interface PlatformStandIn {
  /** Base URL for each data centre. */
  urls: Record<string, string>;
  /** Base URL for operators and for `/control/...`. */
  operatorsUrl: string;
  table: ObjectTable;
  /**
   * Sets fault switches of one data centre, of `operators`, or of `all` data centres. Returns false
   * if the name is unknown.
   */
  setFaults(dataCentre: string, faults: Partial<EntranceFaults>): boolean;
  setInstances(service: string, items: InstanceRecord[]): void;
  state(): StandInState;
  close(): Promise<void>;
}

/**
 * Starts the stand-in.
 *
 * @example
 * const platform = await createPlatformStandIn({ listenPorts: { 'dc-a': 0, 'dc-b': 0 } });
 * platform.setFaults('dc-a', { outage: 'silent' });
 * await platform.close();
 */
export async function createPlatformStandIn(
  options: PlatformStandInOptions,
): Promise<PlatformStandIn> {
  const shared = createShared(options);
  const entrances = new Map<string, Entrance>();
  for (const dataCentre of Object.keys(options.listenPorts)) {
    entrances.set(dataCentre, new Entrance(shared));
  }
  const standIn: PlatformStandIn = {
    urls: {},
    operatorsUrl: '',
    table: shared.table,
    setFaults: (dataCentre, faults) => setFaults(entrances, dataCentre, faults),
    setInstances: (service, items) => {
      shared.instances.replace(service, items, shared.now());
    },
    state: () => dumpState(shared, entrances),
    close: async () => {
      await Promise.all([...entrances.values()].map((entrance) => entrance.close()));
    },
  };
  const control = createControlHandler(standIn);
  entrances.set(operatorsEntrance, new Entrance(shared, control));
  await listenAll(standIn, entrances, options);
  return standIn;
}

function createShared(options: PlatformStandInOptions): StandInShared {
  const now = (): number => Date.now();
  const maxValueBytes = options.maxValueBytes ?? 1_048_576;
  return {
    table: new ObjectTable({ maxValueBytes, historyLength: options.historyLength ?? 1_000 }),
    instances: new LaggingInstances(options.instanceLagMs ?? 1_000),
    reads: createRateLimit(options.readsPerSecond ?? 2_000, now()),
    writes: createRateLimit(options.writesPerSecond ?? 400, now()),
    random: xoroshiro128plus(options.seed ?? 1),
    maxValueBytes,
    bookmarkMs: options.bookmarkMs ?? 1_000,
    now,
  };
}

async function listenAll(
  standIn: PlatformStandIn,
  entrances: Map<string, Entrance>,
  options: PlatformStandInOptions,
): Promise<void> {
  const host = options.host ?? '127.0.0.1';
  for (const [name, entrance] of entrances) {
    const isOperators = name === operatorsEntrance;
    const port = isOperators ? options.operatorsPort : entryOf(options.listenPorts, name);
    const url = await listen(entrance.server, host, port ?? 0);
    if (isOperators) standIn.operatorsUrl = url;
    else setEntry(standIn.urls, name, url);
  }
}

function listen(server: Server, host: string, port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const { port: actual } = server.address() as AddressInfo;
      resolve(`http://${host}:${String(actual)}`);
    });
  });
}

function setFaults(
  entrances: Map<string, Entrance>,
  dataCentre: string,
  faults: Partial<EntranceFaults>,
): boolean {
  const targets = [...entrances].filter(
    ([name]) => name === dataCentre || (dataCentre === 'all' && name !== operatorsEntrance),
  );
  for (const [, entrance] of targets) entrance.setFaults(faults);
  return targets.length > 0;
}

function dumpState(shared: StandInShared, entrances: Map<string, Entrance>): StandInState {
  const views = [...entrances].map(([name, { faults, counters, openWatches }]) => [
    name,
    { faults, counters, openWatches },
  ]);
  return {
    version: shared.table.version,
    collections: shared.table.dump(),
    instances: shared.instances.all(shared.now()),
    entrances: Object.fromEntries(views) as StandInState['entrances'],
  };
}
