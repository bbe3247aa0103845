/**
 * Spreads facts through the fleet by gossip. Each instance sends new facts to a few others, which do the same,
 * so a fleet of any size receives them after a few rounds without a coordinator. In addition, each instance
 * periodically exchanges its facts with a random peer (anti-entropy). This delivers facts that were lost in
 * transit or missed during a network partition.
 */

import type {
  DatedFact,
  FleetInstance,
  GossipFact,
  GossipMessage,
  VersionVector,
} from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { GatewayContext } from '../types/context.js';
import type { GossipCalls } from '../types/gossipCalls.js';
import { GossipLog, chooseGossipPeers } from '@flamingocourse/core';
import { Listeners, Service } from '@flamingocourse/kernel';
import { ReachabilityTracker } from './reachabilityTracker.js';
import { InstanceDirectory } from './instanceDirectory.js';

/** Number of peers that receive a message in each round. */
const FANOUT = 4;
/** Number of peers checked for missing facts in each round, so that the cost doesn't grow with the fleet. */
const MAX_CANDIDATES = 32;
/** Milliseconds for which new facts are collected before a round starts. */
const BATCH_MS = 10;
/** Number of rounds after each new fact. */
const GOSSIP_ROUNDS = 3;
/** Minimum milliseconds between two anti-entropy exchanges. */
const MIN_SYNC_MS = 1_000;
/** Maximum milliseconds between two anti-entropy exchanges, reached while there are no new facts. */
const MAX_SYNC_MS = 30_000;
/** The pause between anti-entropy exchanges is this fraction of the time since the newest fact. */
const SYNC_BACKOFF_FACTOR = 0.1;

const PEER_EVENTS = { lost: 'news-peer-lost', regained: 'news-peer-regained' } as const;

/** State of another instance. */
interface Peer {
  reachability: ReachabilityTracker;
  /** Versions that the peer had when it last sent a message. */
  known: VersionVector;
}

/**
 * Gossip service. Registered as `news`.
 *
 * @example
 * gossip.onFact(({ news, at }) => apply(news, at));
 * gossip.publish({ type: 'crashed', server, inFlight });
 */
export class GossipService extends Service {
  override readonly name = 'news';
  override readonly dependsOn = ['instances'];
  readonly #context: GatewayContext;
  readonly #calls: GossipCalls;
  readonly #log: GossipLog;
  readonly #peers = new Map<string, Peer>();
  readonly #listeners = new Listeners<DatedFact>(this.name);
  #instances: InstanceDirectory | undefined;
  #gossipTimer: NodeJS.Timeout | undefined;
  #syncTimer: NodeJS.Timeout | undefined;
  #roundsLeft = 0;
  #isCaughtUp = false;
  #stopped = false;

  constructor(context: GatewayContext, incarnation: string, calls: GossipCalls) {
    super();
    this.#context = context;
    this.#calls = calls;
    this.#log = new GossipLog(incarnation);
  }

  /** Whether the last message to at least one peer got no answer. */
  get hasUnreachablePeers(): boolean {
    return [...this.#peers.values()].some(({ reachability }) => reachability.isUnreachable);
  }

  /** Calls the listener with each new fact from another instance. */
  onFact(listener: (fact: DatedFact) => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Sends a fact to the other instances.
   *
   * @param urgency `later` waits for the next message that is sent for another reason.
   */
  publish(fact: GossipFact, urgency: 'now' | 'later' = 'now'): void {
    this.#log.add(fact, this.#now());
    if (urgency === 'now') this.#startGossip();
  }

  /** Processes a message of another instance and returns the answer. */
  handleMessage({ from, known, items }: GossipMessage): GossipMessage {
    this.#peerOf(from).known = known;
    this.#applyItems(items);
    return this.#messageFor(known);
  }

  override start(kernel: Kernel): void {
    this.#listeners.reportTo(kernel);
    this.#instances = kernel.get('instances', InstanceDirectory);
    this.#instances.onChange(() => {
      this.#removeGonePeers();
      if (!this.#isCaughtUp) this.#context.background.run(this.name, () => this.#catchUp());
    });
    this.#scheduleSync(MIN_SYNC_MS);
  }

  override stop(): void {
    this.#stopped = true;
    clearTimeout(this.#gossipTimer);
    clearTimeout(this.#syncTimer);
  }

  /** The other instances that have a mesh address. */
  get #others(): FleetInstance[] {
    const { instance } = this.#context.settings;
    const all = this.#instances?.all ?? [];
    return all.filter(({ name, meshUrl }) => name !== instance && meshUrl !== undefined);
  }

  /** Fetches the facts known to the fleet, so that a new process does not have to wait for gossip. */
  async #catchUp(): Promise<void> {
    const outcomes = await Promise.all(
      this.#choose(this.#others).map((peer) => this.#exchange(peer)),
    );
    this.#isCaughtUp ||= outcomes.includes('answered');
  }

  #startGossip(): void {
    this.#roundsLeft = GOSSIP_ROUNDS;
    this.#scheduleRound();
  }

  #scheduleRound(): void {
    if (this.#stopped) return;
    this.#gossipTimer ??= this.#context.background.after(BATCH_MS, this.name, () => {
      this.#gossipTimer = undefined;
      return this.#gossip();
    });
  }

  async #gossip(): Promise<void> {
    const now = this.#now();
    const outdated = this.#choose(this.#others, MAX_CANDIDATES).filter(({ name }) => {
      return this.#log.missingFrom(this.#peerOf(name).known, now).length > 0;
    });
    const answering = outdated.filter(({ name }) => !this.#peerOf(name).reachability.isUnreachable);
    if (outdated.length === 0 || this.#roundsLeft === 0) return;
    this.#roundsLeft -= 1;
    const chosen = this.#choose(answering.length > 0 ? answering : outdated);
    await Promise.all(chosen.map((peer) => this.#exchange(peer)));
    if (this.#roundsLeft > 0) this.#scheduleRound();
  }

  #choose(others: readonly FleetInstance[], count = FANOUT): FleetInstance[] {
    const { settings, random } = this.#context;
    return chooseGossipPeers(others, settings.dataCentre, count, random);
  }

  #scheduleSync(ms: number): void {
    const { background, random } = this.#context;
    if (this.#stopped) return;
    this.#syncTimer = background.after(ms * (0.75 + 0.5 * random()), this.name, () => {
      return this.#sync().finally(() => {
        this.#scheduleSync(this.#syncPauseMs);
      });
    });
  }

  async #sync(): Promise<void> {
    const { random } = this.#context;
    const others = this.#others;
    const peer = others[Math.floor(random() * others.length)];
    if (!this.#isCaughtUp) await this.#catchUp();
    else if (peer && !this.#log.isEmpty) await this.#exchange(peer);
  }

  get #syncPauseMs(): number {
    const quietMs = SYNC_BACKOFF_FACTOR * (this.#now() - this.#log.newestAt);
    const isQuiet = !this.#log.isEmpty && quietMs > MIN_SYNC_MS;
    return isQuiet ? Math.min(MAX_SYNC_MS, quietMs) : MIN_SYNC_MS;
  }

  async #exchange(instance: FleetInstance): Promise<'answered' | 'silent'> {
    const peer = this.#peerOf(instance.name);
    const message = this.#messageFor(peer.known);
    const answer = await this.#calls.exchange(instance, message);
    if (this.#stopped) return 'silent';
    if (answer.isErr) {
      peer.reachability.recordFailure(answer.error, { items: message.items.length });
      return 'silent';
    }
    peer.reachability.recordAnswer();
    peer.known = answer.value.known;
    this.#applyItems(answer.value.items);
    return 'answered';
  }

  #messageFor(known: VersionVector): GossipMessage {
    const { instance } = this.#context.settings;
    const items = this.#log.missingFrom(known, this.#now());
    return { from: instance, known: this.#log.known, items };
  }

  #applyItems(items: GossipMessage['items']): void {
    const facts = this.#log.receive(items, this.#now());
    if (facts.length === 0) return;
    for (const fact of facts) this.#listeners.notify(fact);
    this.#startGossip();
  }

  #peerOf(name: string): Peer {
    const known = this.#peers.get(name);
    if (known) return known;
    const created = {
      reachability: new ReachabilityTracker(this.#context, PEER_EVENTS, { peer: name }),
      known: {},
    };
    this.#peers.set(name, created);
    return created;
  }

  #removeGonePeers(): void {
    const names = new Set(this.#others.map(({ name }) => name));
    for (const name of this.#peers.keys()) if (!names.has(name)) this.#peers.delete(name);
  }

  #now(): number {
    return this.#context.clock.now();
  }
}
