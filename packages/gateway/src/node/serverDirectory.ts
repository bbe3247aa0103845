/** Follows the list of backend servers. */

import type { BackendServer, ListedServer } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { ObjectList, Subscription, WatchEvent } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import { Service } from '@flamingocourse/kernel';
import { StoreContact } from './storeContact.js';

/** A server with what its entry adds to routing's view. */
export interface DirectoryServer extends BackendServer {
  slots: number;
}

/** The state of the list by which a server was chosen, for the log. */
export interface ListView {
  /** Version of the store up to which the list is known. */
  listVersion: string | undefined;
  /** Milliseconds since the store confirmed the list. */
  listAgeMs: number;
  /** Whether the server is used although its entry is missing. */
  kept: boolean;
}

/** A server that is used although its entry is missing. */
interface KeptServer {
  since: number;
  /** When it is taken as gone. */
  until: number;
}

/** Why a server is no longer kept. */
type KeptEnd = 'its entry is back' | 'its entry cannot be used' | 'time is over';

/**
 * Milliseconds without a word from the store after which entries may have lapsed: a server is silent
 * for three heartbeats then, of which one may lie before the outage.
 */
const LAPSE_OUTAGE_MS = 2_300;
/**
 * Milliseconds that changes of the list gather before they are asked for. While many servers start, are
 * replaced or report their state, each change would cost a call of its own; a server that leaves goes on
 * serving for two seconds.
 */
const GATHER_MS = 250;
/** Milliseconds between looks at whether kept entries have to go. */
const LAPSE_CHECK_MS = 200;

/**
 * Servers that may get work. Registered as `directory`.
 *
 * While the store is away the entries of servers that live lapse, because they can't be renewed.
 * Taken at its word, the list after the store's return would leave nobody to serve. So entries that
 * are missing then are kept until the servers have had time to write them again.
 */
export class ServerDirectory extends Service {
  override readonly name = 'directory';
  readonly #context: GatewayContext;
  readonly #servers = new Map<string, DirectoryServer>();
  /** Servers that are used although their entry is missing. */
  readonly #kept = new Map<string, KeptServer>();
  readonly #listeners: ((servers: DirectoryServer[]) => void)[] = [];
  readonly #contact: StoreContact;
  #subscription: Subscription | undefined;
  #timer: NodeJS.Timeout | undefined;
  #graceUntil = -Infinity;
  #version: string | undefined;

  constructor(context: GatewayContext) {
    super();
    this.#context = context;
    this.#contact = new StoreContact(context, this.name);
  }

  get servers(): DirectoryServer[] {
    return [...this.#servers.values()];
  }

  /** Servers that are used although their entry is missing. */
  get keptCount(): number {
    return this.#kept.size;
  }

  /** Milliseconds since the store confirmed the list; infinite before the first word. */
  ageMs(now: number): number {
    return this.#contact.ageMs(now);
  }

  /** What the choice of a server goes by at a time. */
  view(id: string, now: number): ListView {
    const listAgeMs = Math.round(this.ageMs(now));
    return { listVersion: this.#version, listAgeMs, kept: this.#kept.has(id) };
  }

  /** Calls back with all servers after each change. */
  onChange(listener: (servers: DirectoryServer[]) => void): void {
    this.#listeners.push(listener);
  }

  override start(kernel: Kernel): void {
    const { store, dialects, clock } = this.#context;
    this.#subscription = store.watch(dialects.serverList, {
      gatherMs: GATHER_MS,
      onEvent: (event) => {
        try {
          this.#take(event);
        } catch (err) {
          kernel.reportFailure(err, this.name);
        }
      },
      onHeard: () => {
        this.#contact.heard({ servers: this.#servers.size });
      },
      onBreak: (reason) => {
        this.#contact.lose(reason);
      },
    });
    this.#timer = setInterval(() => {
      this.#dropLapsed(clock.now());
    }, LAPSE_CHECK_MS);
  }

  override stop(): void {
    this.#subscription?.stop();
    clearInterval(this.#timer);
  }

  #take(event: WatchEvent<ListedServer>): void {
    const now = this.#context.clock.now();
    const silentMs = this.#contact.ageMs(now);
    if (silentMs > LAPSE_OUTAGE_MS) {
      this.#graceUntil = now + this.#context.settings.servers.lapseGraceMs;
    }
    switch (event.type) {
      case 'listed':
        this.#takeList(event.list, now);
        break;
      case 'changed':
        this.#put(event.object.name, event.object.value);
        break;
      case 'removed':
        this.#miss(event.name, now);
        break;
      case 'invalid':
        this.#refuse(event.name);
        break;
    }
    this.#version = versionOf(event);
    this.#publish(event.type, silentMs);
  }

  #takeList(list: ObjectList<ListedServer>, now: number): void {
    for (const name of list.invalid) this.#refuse(name);
    for (const { name, value } of list.items) this.#put(name, value);
    const listed = new Set(list.items.map((item) => item.name));
    for (const id of this.#servers.keys()) if (!listed.has(id)) this.#miss(id, now);
  }

  #put(id: string, value: ListedServer): void {
    this.#endKept(id, 'its entry is back');
    this.#servers.set(id, { id, ...value });
  }

  #miss(id: string, now: number): void {
    const server = this.#servers.get(id);
    if (!server) return;
    if (now >= this.#graceUntil) {
      this.#servers.delete(id);
      return;
    }
    if (this.#kept.has(id)) return;
    this.#kept.set(id, { since: now, until: this.#graceUntil });
    this.#context.log.write('server-kept', {
      server: id,
      service: server.service,
      silentMs: Math.round(this.#contact.ageMs(now)),
      forMs: Math.round(this.#graceUntil - now),
    });
  }

  #endKept(id: string, why: KeptEnd): void {
    const kept = this.#kept.get(id);
    if (!kept) return;
    this.#kept.delete(id);
    const keptMs = Math.round(this.#context.clock.now() - kept.since);
    this.#context.log.write('server-kept-ended', { server: id, why, keptMs });
  }

  #refuse(id: string): void {
    this.#servers.delete(id);
    this.#endKept(id, 'its entry cannot be used');
    this.#context.log.write('server-entry-invalid', { server: id });
  }

  #dropLapsed(now: number): void {
    // while the store is away again nothing says that a server is gone.
    if (this.#contact.isLost) return;
    let dropped = 0;
    for (const [id, { until }] of this.#kept) {
      if (now < until) continue;
      this.#endKept(id, 'time is over');
      if (this.#servers.delete(id)) dropped += 1;
    }
    if (dropped > 0) this.#publish('lapsed');
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
    for (const listener of this.#listeners) listener(servers);
  }
}

/** Version of the store up to which an event tells the list. */
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
