/** Watches the list of backend servers in the store. */

import type { BackendServer, ListedServer, ReportedCold } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { ObjectList, Subscription, WatchEvent } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import type { HealthCheck } from '../types/healthCheck.js';
import { KeptServers } from '@flamingocourse/core';
import { isDeepStrictEqual } from 'node:util';
import { Listeners, Service, loggedText } from '@flamingocourse/kernel';
import { recordCold } from './recordNotice.js';
import { reportThrown } from './reportThrown.js';
import { StoreReachability } from './storeReachability.js';

/** A backend server with the capacity from its entry in the list. */
export interface DirectoryServer extends BackendServer {
  slots: number;
  cold?: ReportedCold | undefined;
}

/** State of the list when a server was chosen, for the log. */
export interface ListView {
  /** Store version of the list. */
  listVersion: string | undefined;
  /** Milliseconds since the store last confirmed the list. */
  listAgeMs: number;
  /** Whether the server is used although its entry is missing from the list. */
  kept: boolean;
}

/** Milliseconds between checks of overdue kept servers while the store is unreachable again. */
const OVERDUE_CHECK_MS = 100;

/** Why a server is no longer kept. */
type KeptEndReason =
  | 'its entry is back'
  | 'its entry cannot be used'
  | 'time is over'
  | 'it is leaving'
  | 'it is gone';

/**
 * Milliseconds without contact to the store after which entries may have expired. An entry expires
 * after three missed heartbeats, of which one may be before the outage.
 */
const EXPIRY_OUTAGE_MS = 2_300;
/**
 * Milliseconds over which changes of the list are batched before they are read. While many servers
 * start, are replaced or report their state, each change would otherwise cost a call. The delay is
 * safe because a leaving server keeps serving for two seconds.
 */
export const SERVER_LIST_BATCH_MS = 250;

/**
 * Service that keeps the list of servers that may get requests. Registered as `directory`.
 *
 * While the store is unreachable, entries of live servers expire because they cannot be renewed.
 * The first list after the outage may therefore be empty. Servers whose entries are missing then
 * are kept until they have had time to rewrite them, unless they report that they are leaving.
 */
export class ServerDirectory extends Service {
  override readonly name = 'directory';
  readonly #context: GatewayContext;
  readonly #servers = new Map<string, DirectoryServer>();
  /** Servers that are used although their entry is missing from the list. */
  readonly #kept = new KeptServers();
  /** Ids of entries that cannot be used, so that each is logged once. */
  readonly #invalid = new Set<string>();
  readonly #health: HealthCheck;
  readonly #listeners = new Listeners<DirectoryServer[]>(this.name);
  readonly #reachability: StoreReachability;
  #subscription: Subscription | undefined;
  #timer: NodeJS.Timeout | undefined;
  #graceUntil = -Infinity;
  #version: string | undefined;

  constructor(context: GatewayContext, health: HealthCheck) {
    super();
    this.#context = context;
    this.#health = health;
    this.#reachability = new StoreReachability(context, this.name);
  }

  /** Servers that may get requests, including kept ones. */
  get servers(): DirectoryServer[] {
    return [...this.#servers.values()];
  }

  /** Returns a server that may get requests; undefined if it is not listed. */
  find(id: string): DirectoryServer | undefined {
    return this.#servers.get(id);
  }

  /** Number of servers that are used although their entry is missing from the list. */
  get keptCount(): number {
    return this.#kept.size;
  }

  /** Milliseconds since the store last confirmed the list; infinite before the first time. */
  ageMs(now: number): number {
    return this.#reachability.ageMs(now);
  }

  /** When the store last confirmed the list; -Infinity before the first time. */
  get confirmedAt(): number {
    const now = this.#context.clock.now();
    return now - this.ageMs(now);
  }

  /** Returns the state of the list at a time, for the log line of a request to server `id`. */
  view(id: string, now: number): ListView {
    const listAgeMs = Math.round(this.ageMs(now));
    return { listVersion: this.#version, listAgeMs, kept: this.#kept.has(id) };
  }

  /** Calls `listener` with all servers after each change. */
  onChange(listener: (servers: DirectoryServer[]) => void): void {
    this.#listeners.add(listener);
  }

  override start(kernel: Kernel): void {
    this.#listeners.reportTo(kernel);
    const { store, dialects } = this.#context;
    this.#subscription = store.watch(dialects.serverList, {
      batchMs: SERVER_LIST_BATCH_MS,
      onEvent: reportThrown(kernel, this.name, (event) => {
        this.#onEvent(event);
      }),
      onUpToDate: (ageMs) => {
        this.#reachability.recordAnswer({ servers: this.#servers.size }, ageMs);
      },
      onBreak: (reason) => {
        this.#reachability.recordFailure(reason);
      },
    });
  }

  override stop(): void {
    this.#subscription?.stop();
    clearTimeout(this.#timer);
  }

  #onEvent(event: WatchEvent<ListedServer>): void {
    const now = this.#context.clock.now();
    const silentMs = this.#reachability.ageMs(now);
    if (silentMs > EXPIRY_OUTAGE_MS) {
      this.#graceUntil = now + this.#context.settings.servers.lapseGraceMs;
    }
    switch (event.type) {
      case 'listed':
        this.#applyList(event.list, now);
        break;
      case 'changed':
        this.#put(event.object.name, event.object.value);
        break;
      case 'removed':
        this.#invalid.delete(event.name);
        this.#onMissing(event.name, now);
        break;
      case 'invalid':
        this.#dropInvalid(event.name);
        break;
    }
    this.#version = versionOf(event);
    this.#publish(event.type, silentMs);
    this.#checkKept(now);
  }

  #applyList(list: ObjectList<ListedServer>, now: number): void {
    for (const name of list.invalid) this.#dropInvalid(name);
    for (const { name, value } of list.items) this.#put(name, value);
    const invalid = new Set(list.invalid);
    for (const id of this.#invalid) if (!invalid.has(id)) this.#invalid.delete(id);
    const listed = new Set(list.items.map((item) => item.name));
    for (const id of this.#servers.keys()) if (!listed.has(id)) this.#onMissing(id, now);
  }

  #put(id: string, value: ListedServer): void {
    this.#invalid.delete(id);
    this.#endKept(id, 'its entry is back');
    const before = this.#servers.get(id);
    this.#servers.set(id, { id, ...value });
    // an entry that is only read again says nothing new.
    const isSame = before?.url === value.url && isDeepStrictEqual(before.cold, value.cold);
    if (value.cold && !isSame) {
      recordCold(this.#context, { id, service: value.service }, value.cold, 'entry');
    }
  }

  #onMissing(id: string, now: number): void {
    const server = this.#servers.get(id);
    if (!server) return;
    if (now >= this.#graceUntil) {
      this.#servers.delete(id);
      return;
    }
    if (!this.#kept.keep(id, this.#graceUntil, now)) return;
    this.#context.log.write('server-kept', {
      server: id,
      service: server.service,
      silentMs: Math.round(this.#reachability.ageMs(now)),
      forMs: Math.round(this.#graceUntil - now),
    });
  }

  #endKept(id: string, why: KeptEndReason): void {
    const summary = this.#kept.end(id, this.#context.clock.now());
    if (!summary) return;
    const { lastWord } = summary;
    const keptMs = Math.round(summary.keptMs);
    this.#context.log.write('server-kept-ended', { server: id, why, keptMs, lastWord });
  }

  /** Checks the kept servers that are due, drops the expired ones and schedules the next run. */
  #checkKept(now: number): void {
    clearTimeout(this.#timer);
    for (const id of this.#kept.takeDueProbes(now)) {
      this.#context.background.run(this.name, () => this.#probe(id));
    }
    // while the store is unreachable again, a missing entry is no evidence that a server is gone.
    const expired = this.#reachability.isUnreachable ? [] : this.#kept.expired(now);
    for (const id of expired) this.#drop(id, 'time is over');
    if (expired.length > 0) this.#publish('lapsed');
    if (this.#kept.size === 0) return;
    const dueMs = this.#kept.nextAt - now;
    const pauseMs = dueMs > 0 ? dueMs : OVERDUE_CHECK_MS;
    this.#timer = this.#context.background.after(pauseMs, this.name, () => {
      this.#checkKept(this.#context.clock.now());
    });
  }

  /**
   * Asks a kept server whether it is leaving. The outage may have affected only this instance,
   * while servers that left could still update the store; requests sent to them would arrive after
   * they have stopped.
   */
  async #probe(id: string): Promise<void> {
    const server = this.#servers.get(id);
    if (!server) return;
    const result = await this.#health.probe(id, server);
    const now = this.#context.clock.now();
    // the server may have rewritten its entry meanwhile, or restarted under the same id.
    if (!this.#kept.has(id) || this.#servers.get(id) !== server) return;
    if (!this.#kept.recordProbe(id, result, now)) {
      this.#drop(id, result === 'gone' ? 'it is gone' : 'it is leaving');
      this.#publish('asked');
    }
    this.#checkKept(now);
  }

  #drop(id: string, why: KeptEndReason): void {
    this.#endKept(id, why);
    this.#servers.delete(id);
  }

  #dropInvalid(id: string): void {
    this.#servers.delete(id);
    this.#endKept(id, 'its entry cannot be used');
    // the server rewrites its entry with each heartbeat.
    if (this.#invalid.has(id)) return;
    this.#invalid.add(id);
    this.#context.log.write('server-entry-invalid', { server: loggedText(id), length: id.length });
  }

  #publish(cause: string, silentMs?: number): void {
    const servers = this.servers;
    this.#context.log.write('servers-changed', {
      cause,
      servers: servers.length,
      leaving: servers.filter((server) => server.state === 'leaving').length,
      kept: this.#kept.size,
      version: this.#version,
      silentMs: Number.isFinite(silentMs) ? Math.round(silentMs ?? 0) : undefined,
    });
    this.#listeners.notify(servers);
  }
}

/** Returns the store version of an event. */
function versionOf(event: WatchEvent<ListedServer>): string {
  switch (event.type) {
    case 'listed':
      return event.list.version;
    case 'changed':
      return event.object.version;
    case 'removed':
    case 'invalid':
      return event.version;
  }
}
