/**
 * Tells the instances of the fleet what one of them has learned. Each tells some others, which do the same, so
 * that a fleet of any size has it after a few steps without anybody in charge. From time to time each compares what
 * it knows with another one's: what was lost on the way, or missed in a cut, comes then.
 */

import type {
  DatedNews,
  FleetInstance,
  FleetNews,
  NewsMessage,
  NewsVersions,
} from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { GatewayContext } from '../types/context.js';
import type { NewsCalls } from '../types/newsCalls.js';
import { NewsLog, chooseListeners } from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { Contact } from './contact.js';
import { InstanceDirectory } from './instanceDirectory.js';

/** Instances that are told at once. */
const LISTENERS = 4;
/** Instances of which those that lack something are told, so that the cost doesn't grow with the fleet. */
const CANDIDATES = 32;
/** Milliseconds in which news gather before they are told. */
const GATHER_MS = 10;
/** Times that some instances are told of the same news. */
const TELLINGS = 3;
/** Least milliseconds between two comparisons with another instance. */
const COMPARE_MS = 1_000;
/** Most milliseconds between them, while nothing new comes. */
const MAX_COMPARE_MS = 30_000;
/** Part of the time since the last news after which the next comparison is due. */
const COMPARE_PART = 0.1;

const PEER_EVENTS = { lost: 'news-peer-lost', regained: 'news-peer-regained' } as const;

/** What is known of another instance. */
interface Peer {
  contact: Contact;
  /** What it knew when it was last heard. */
  known: NewsVersions;
}

/**
 * Registered as `news`.
 *
 * @example
 * news.onNews(({ news, at }) => take(news, at));
 * news.publish({ type: 'crashed', server, inFlight });
 */
export class NewsService extends Service {
  override readonly name = 'news';
  override readonly dependsOn = ['instances'];
  readonly #context: GatewayContext;
  readonly #calls: NewsCalls;
  readonly #log: NewsLog;
  readonly #peers = new Map<string, Peer>();
  readonly #listeners: ((news: DatedNews) => void)[] = [];
  #instances: InstanceDirectory | undefined;
  #gathering: NodeJS.Timeout | undefined;
  #comparing: NodeJS.Timeout | undefined;
  #tellings = 0;
  #isCaughtUp = false;
  #stopped = false;

  constructor(context: GatewayContext, incarnation: string, calls: NewsCalls) {
    super();
    this.#context = context;
    this.#calls = calls;
    this.#log = new NewsLog(incarnation);
  }

  /** Whether some other instance did not answer when it was last told something. */
  get missesPeers(): boolean {
    return [...this.#peers.values()].some(({ contact }) => contact.isLost);
  }

  /** Calls back with what other instances found out. */
  onNews(listener: (news: DatedNews) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Tells the others.
   *
   * @param urgency `later` waits until there is something to tell anyway.
   */
  publish(news: FleetNews, urgency: 'now' | 'later' = 'now'): void {
    this.#log.add(news, this.#now());
    if (urgency === 'now') this.#tellSoon();
  }

  /** Answers another instance that tells its news. */
  hear({ from, known, items }: NewsMessage): NewsMessage {
    this.#peerOf(from).known = known;
    this.#take(items);
    return this.#messageFor(known);
  }

  override start(kernel: Kernel): void {
    this.#instances = kernel.get('instances', InstanceDirectory);
    this.#instances.onChange(() => {
      this.#forgetPeers();
      if (!this.#isCaughtUp) void this.#catchUp();
    });
    this.#compareIn(COMPARE_MS);
  }

  override stop(): void {
    this.#stopped = true;
    clearTimeout(this.#gathering);
    clearTimeout(this.#comparing);
  }

  /** Instances that can be told something. */
  get #others(): FleetInstance[] {
    const { instance } = this.#context.settings;
    const all = this.#instances?.all ?? [];
    return all.filter(({ name, meshUrl }) => name !== instance && meshUrl !== undefined);
  }

  /** A new process hears what the others know before the first news come. */
  async #catchUp(): Promise<void> {
    const ends = await Promise.all(this.#choose(this.#others).map((peer) => this.#exchange(peer)));
    this.#isCaughtUp ||= ends.includes('heard');
  }

  #tellSoon(): void {
    this.#tellings = TELLINGS;
    this.#gather();
  }

  #gather(): void {
    if (this.#stopped) return;
    this.#gathering ??= setTimeout(() => {
      this.#gathering = undefined;
      void this.#tell();
    }, GATHER_MS);
  }

  async #tell(): Promise<void> {
    const now = this.#now();
    const lacking = this.#choose(this.#others, CANDIDATES).filter(({ name }) => {
      return this.#log.lackedBy(this.#peerOf(name).known, now).length > 0;
    });
    const answering = lacking.filter(({ name }) => !this.#peerOf(name).contact.isLost);
    if (lacking.length === 0 || this.#tellings === 0) return;
    this.#tellings -= 1;
    const chosen = this.#choose(answering.length > 0 ? answering : lacking);
    await Promise.all(chosen.map((peer) => this.#exchange(peer)));
    if (this.#tellings > 0) this.#gather();
  }

  #choose(others: readonly FleetInstance[], count = LISTENERS): FleetInstance[] {
    const { settings, random } = this.#context;
    return chooseListeners(others, settings.dataCentre, count, random);
  }

  #compareIn(ms: number): void {
    const { random } = this.#context;
    if (this.#stopped) return;
    this.#comparing = setTimeout(() => void this.#compare(), ms * (0.75 + 0.5 * random()));
  }

  async #compare(): Promise<void> {
    const { random } = this.#context;
    const others = this.#others;
    const peer = others[Math.floor(random() * others.length)];
    if (!this.#isCaughtUp) await this.#catchUp();
    else if (peer && !this.#log.isEmpty) await this.#exchange(peer);
    const quietMs = COMPARE_PART * (this.#now() - this.#log.newestAt);
    const isQuiet = !this.#log.isEmpty && quietMs > COMPARE_MS;
    this.#compareIn(isQuiet ? Math.min(MAX_COMPARE_MS, quietMs) : COMPARE_MS);
  }

  async #exchange(instance: FleetInstance): Promise<'heard' | 'silent'> {
    const peer = this.#peerOf(instance.name);
    const message = this.#messageFor(peer.known);
    const answer = await this.#calls.exchange(instance, message);
    if (this.#stopped) return 'silent';
    if (answer.isErr) {
      peer.contact.lose(answer.error, { items: message.items.length });
      return 'silent';
    }
    peer.contact.heard();
    peer.known = answer.value.known;
    this.#take(answer.value.items);
    return 'heard';
  }

  #messageFor(known: NewsVersions): NewsMessage {
    const { instance } = this.#context.settings;
    const items = this.#log.lackedBy(known, this.#now());
    return { from: instance, known: this.#log.known, items };
  }

  #take(items: NewsMessage['items']): void {
    const news = this.#log.take(items, this.#now());
    if (news.length === 0) return;
    for (const each of news) for (const listener of this.#listeners) listener(each);
    this.#tellSoon();
  }

  #peerOf(name: string): Peer {
    const known = this.#peers.get(name);
    if (known) return known;
    const created = { contact: new Contact(this.#context, PEER_EVENTS, { peer: name }), known: {} };
    this.#peers.set(name, created);
    return created;
  }

  #forgetPeers(): void {
    const names = new Set(this.#others.map(({ name }) => name));
    for (const name of this.#peers.keys()) if (!names.has(name)) this.#peers.delete(name);
  }

  #now(): number {
    return this.#context.clock.now();
  }
}
