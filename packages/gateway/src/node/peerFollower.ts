/** Follows the store through another instance of the data centre. */

import type { FleetInstance, FollowAnswer, FollowedCollection } from '@flamingocourse/core';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { RelayedWatch, WireChange } from '@flamingocourse/store';
import type { FollowCalls, FollowFault } from '../types/followCalls.js';
import type { WatcherChoice } from '../runtime/watcherChoice.js';
import type { WatchKnowledge } from '../runtime/watchKnowledge.js';
import { setTimeout as delay } from 'node:timers/promises';
import { runInBackground } from '@flamingocourse/kernel';
import { isNewer } from '@flamingocourse/store';

/** Milliseconds for which a call waits for changes at the watcher. */
export const WAIT_MS = 700;
/** The same for a call of an instance that others follow, as its word gets older on the way to them. */
const FOLLOWED_WAIT_MS = 350;
/** Milliseconds beyond that for the way there and back, and for a pause of the watcher. */
export const ANSWER_MARGIN_MS = 250;
/** Minimum milliseconds between two calls. */
const MIN_INTERVAL_MS = 50;

/** Dependencies of {@link PeerFollower}. */
export interface PeerFollowerPorts {
  clock: Clock;
  log: EventLog;
  calls: FollowCalls;
  choice: WatcherChoice;
  knowledge: WatchKnowledge;
  /** Instances of the own data centre, this one included. */
  instances: () => readonly FleetInstance[];
  /** Whether peers follow the store through this instance. */
  isFollowed: () => boolean;
  /** Milliseconds after which the store's word on a collection is too old to rely on a peer. */
  maxAgeMs: number;
  /** Called after each answer, so that it is passed on at once. */
  onAnswer: () => void;
  /** Receives errors of background work. */
  onFailure: (err: unknown) => void;
}

/** A watch that follows the store through a peer. */
interface Followed {
  watch: RelayedWatch;
  version: string;
  /** When the watch asks the store by itself, unless it hears of it before. */
  dueAt: number;
  end: () => void;
}

/** Watches of this process that follow the store through one peer, in one call for all of them. */
export class PeerFollower {
  readonly #ports: PeerFollowerPorts;
  readonly #followed = new Map<string, Followed>();
  #call: AbortController | undefined;
  #isRunning = false;
  #watcher: string | undefined;

  constructor(ports: PeerFollowerPorts) {
    this.#ports = ports;
  }

  /** Instance that is followed; undefined while this one asks the store by itself. */
  get watcher(): string | undefined {
    return this.#watcher;
  }

  /** Ends when the watch has to ask the store by itself. */
  follow(watch: RelayedWatch): Promise<void> {
    if (watch.signal.aborted || this.#choose() === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      const { collection, version } = watch;
      const end = (): void => {
        watch.signal.removeEventListener('abort', end);
        if (this.#followed.get(collection) === followed) this.#followed.delete(collection);
        resolve();
      };
      const followed = { watch, version, dueAt: this.#firstDueAt(collection), end };
      watch.signal.addEventListener('abort', end);
      this.#followed.set(collection, followed);
      // the call in flight does not ask for this collection.
      this.#call?.abort();
      if (!this.#isRunning) runInBackground(() => this.#run(), this.#ports.onFailure);
    });
  }

  /** Makes the watches ask the store by themselves if nobody is to be followed any more. */
  recheck(): void {
    if (this.#followed.size > 0 && this.#choose() === undefined) this.#endAll();
  }

  #endAll(): void {
    for (const { end } of [...this.#followed.values()]) end();
    this.#call?.abort();
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    try {
      while (this.#followed.size > 0) await this.#step();
    } finally {
      this.#isRunning = false;
      this.#watcher = undefined;
      this.#endAll();
    }
  }

  async #step(): Promise<void> {
    const peer = this.#choose();
    if (peer === undefined) {
      this.#endAll();
      return;
    }
    const beganAt = this.#now();
    await this.#ask(peer);
    this.#endOverdue();
    const leftMs = beganAt + MIN_INTERVAL_MS - this.#now();
    if (leftMs > 0) await delay(leftMs);
  }

  #choose(): FleetInstance | undefined {
    const { choice, instances, isFollowed } = this.#ports;
    return choice.choose(instances(), isFollowed(), this.#now());
  }

  async #ask(peer: FleetInstance): Promise<void> {
    const asked = new Map(this.#followed);
    const positions = Object.fromEntries([...asked].map(([name, { version }]) => [name, version]));
    const sentAt = this.#now();
    const firstDueMs = Math.min(...[...asked.values()].map(({ dueAt }) => dueAt)) - sentAt;
    const longestMs = this.#ports.isFollowed() ? FOLLOWED_WAIT_MS : WAIT_MS;
    // a watcher that answers in time must not seem silent because a watch is due before that.
    const waitMs = Math.max(0, Math.min(longestMs, firstDueMs));
    const call = new AbortController();
    this.#call = call;
    const request = { positions, waitMs };
    const answer = await this.#ports.calls.follow(
      peer,
      request,
      waitMs + ANSWER_MARGIN_MS,
      call.signal,
    );
    this.#call = undefined;
    if (call.signal.aborted) return;
    if (answer.isErr) this.#lose(peer, answer.error);
    else this.#apply(peer, asked, answer.value, sentAt);
  }

  #lose({ name }: FleetInstance, { reason, isRefusal }: FollowFault): void {
    const { choice, log } = this.#ports;
    choice.recordFailure(name, isRefusal ? 'refused' : 'silent', this.#now());
    this.#watcher = undefined;
    log.write('watcher-lost', { watcher: name, reason });
  }

  #apply(
    { name }: FleetInstance,
    asked: ReadonlyMap<string, Followed>,
    { collections, heldMs }: FollowAnswer,
    sentAt: number,
  ): void {
    if (this.#watcher !== name) this.#ports.log.write('watcher-followed', { watcher: name });
    this.#watcher = name;
    // all of the time on the way counts, as it is not known which part of it was the way back.
    const onTheWayMs = Math.max(0, this.#now() - sentAt - heldMs);
    for (const [collection, answer] of Object.entries(collections)) {
      const followed = asked.get(collection);
      if (!followed || this.#followed.get(collection) !== followed) continue;
      if (answer === 'ask-store') followed.end();
      else this.#deliver(collection, followed, answer, answer.ageMs + onTheWayMs);
    }
    this.#ports.onAnswer();
  }

  #deliver(
    collection: string,
    followed: Followed,
    { version, changes }: Exclude<FollowedCollection, 'ask-store'>,
    ageMs: number,
  ): void {
    // a watcher that started again may know less than it once passed on.
    if (isNewer(followed.version, version)) return;
    this.#record(collection, followed.version, version, changes, ageMs);
    followed.version = version;
    followed.dueAt = Math.max(followed.dueAt, this.#now() - ageMs + this.#ports.maxAgeMs);
    followed.watch.onChanges(changes, version, ageMs);
  }

  #record(
    collection: string,
    from: string,
    to: string,
    changes: WireChange[],
    ageMs: number,
  ): void {
    const confirmedAt = this.#now() - ageMs;
    this.#ports.knowledge.recordChanges(collection, { from, to, changes }, confirmedAt);
  }

  #endOverdue(): void {
    const now = this.#now();
    for (const followed of [...this.#followed.values()]) if (followed.dueAt <= now) followed.end();
  }

  /** However old the store's word is, a peer gets the time to answer once. */
  #firstDueAt(collection: string): number {
    const { knowledge, maxAgeMs } = this.#ports;
    const now = this.#now();
    const { ageMs } = knowledge.of(collection, now);
    return now + Math.max(WAIT_MS + ANSWER_MARGIN_MS, maxAgeMs - ageMs);
  }

  #now(): number {
    return this.#ports.clock.now();
  }
}
