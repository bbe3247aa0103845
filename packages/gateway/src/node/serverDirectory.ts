/** Follows the list of backend servers. */

import type { BackendServer, ListedServer } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { ObjectList, Subscription, WatchEvent } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import type { HealthCheck } from '../types/healthCheck.js';
import { KeptServers } from '@flamingocourse/core';
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

/** Milliseconds between two looks at kept servers whose time is over while the store is away again. */
const OVERDUE_LOOK_MS = 100;

/** Why a server is no longer kept. */
type KeptEnd =
  | 'its entry is back'
  | 'its entry cannot be used'
  | 'time is over'
  | 'it is leaving'
  | 'it is gone';

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
export const GATHER_MS = 250;

/**
 * Servers that may get work. Registered as `directory`.
 *
 * While the store is away the entries of servers that live lapse, because they can't be renewed.
 * Taken at its word, the list after the store's return would leave nobody to serve. So servers whose
 * entries are missing then are kept until they have had time to write them again, unless they say
 * themselves that they leave.
 */
export class ServerDirectory extends Service {
  override readonly name = 'directory';
  readonly #context: GatewayContext;
  readonly #servers = new Map<string, DirectoryServer>();
  /** Servers that are used although their entry is missing. */
  readonly #kept = new KeptServers();
  readonly #health: HealthCheck;
  readonly #listeners: ((servers: DirectoryServer[]) => void)[] = [];
  readonly #contact: StoreContact;
  #subscription: Subscription | undefined;
  #timer: NodeJS.Timeout | undefined;
  #graceUntil = -Infinity;
  #version: string | undefined;

  constructor(context: GatewayContext, health: HealthCheck) {
    super();
    this.#context = context;
    this.#health = health;
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
    const { store, dialects } = this.#context;
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
  }

  override stop(): void {
    this.#subscription?.stop();
    clearTimeout(this.#timer);
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
    this.#tendKept(now);
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
    if (!this.#kept.keep(id, this.#graceUntil, now)) return;
    this.#context.log.write('server-kept', {
      server: id,
      service: server.service,
      silentMs: Math.round(this.#contact.ageMs(now)),
      forMs: Math.round(this.#graceUntil - now),
    });
  }

  #endKept(id: string, why: KeptEnd): void {
    const summary = this.#kept.end(id, this.#context.clock.now());
    if (!summary) return;
    const { lastWord } = summary;
    const keptMs = Math.round(summary.keptMs);
    this.#context.log.write('server-kept-ended', { server: id, why, keptMs, lastWord });
  }

  /** Asks the kept servers that are due and drops those whose time is over; comes back by itself. */
  #tendKept(now: number): void {
    clearTimeout(this.#timer);
    for (const id of this.#kept.takeToAsk(now)) void this.#ask(id);
    // while the store is away again nothing says that a server is gone.
    const over = this.#contact.isLost ? [] : this.#kept.over(now);
    for (const id of over) this.#drop(id, 'time is over');
    if (over.length > 0) this.#publish('lapsed');
    if (this.#kept.size === 0) return;
    const dueMs = this.#kept.nextAt - now;
    const next = (): void => {
      this.#tendKept(this.#context.clock.now());
    };
    this.#timer = setTimeout(next, dueMs > 0 ? dueMs : OVERDUE_LOOK_MS);
  }

  /**
   * Asks a kept server whether it stays. The silence that let it be kept may have been this instance's
   * own, while the store took the leaving of servers from others; work sent to these would reach them
   * after they have ended.
   */
  async #ask(id: string): Promise<void> {
    const server = this.#servers.get(id);
    if (!server) return;
    const word = await this.#health.ask(id, server);
    const now = this.#context.clock.now();
    // it may have written its entry meanwhile, or come back as another.
    if (!this.#kept.has(id) || this.#servers.get(id) !== server) return;
    if (!this.#kept.hear(id, word, now)) {
      this.#drop(id, word === 'gone' ? 'it is gone' : 'it is leaving');
      this.#publish('asked');
    }
    this.#tendKept(now);
  }

  #drop(id: string, why: KeptEnd): void {
    this.#endKept(id, why);
    this.#servers.delete(id);
  }

  #refuse(id: string): void {
    this.#servers.delete(id);
    this.#endKept(id, 'its entry cannot be used');
    this.#context.log.write('server-entry-invalid', { server: id });
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
