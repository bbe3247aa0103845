/** Lets one instance of a data centre watch the store for the others. */

import type { FleetInstance, FollowAnswer, FollowRequest } from '@flamingocourse/core';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { RelayedWatch, WireChange } from '@flamingocourse/store';
import type { Result } from 'true-myth';
import type { FollowCalls } from '../types/followCalls.js';
import { ChangeRelay } from '@flamingocourse/store';
import { WatcherChoice } from '../runtime/watcherChoice.js';
import { WatchKnowledge } from '../runtime/watchKnowledge.js';
import { PeerFollower } from './peerFollower.js';
import { WatchDuty } from './watchDuty.js';

/**
 * Age of the word that a watcher has for its followers, as a part of the time in which a
 * configuration must take effect.
 */
export const FRESH_PART = 0.3;
/** Milliseconds of silence beyond the awaited answer after which a call to the store is broken. */
export const SILENCE_MS = 400;
/** Milliseconds beyond the freshest word until a follower asks the store by itself. */
const FOLLOWER_MARGIN_MS = 1_300;
/** Minimum milliseconds for which a call to the store waits. */
const MIN_WAIT_MS = 100;

/** Dependencies of {@link StoreRelay}. */
export interface StoreRelayPorts {
  /** Name of this instance. */
  instance: string;
  /** Milliseconds within which a silent watch of the configuration has to be reopened. */
  configurationIdleMs: number;
  clock: Clock;
  log: EventLog;
  calls: FollowCalls;
  /** Instances of the own data centre, this one included. */
  instances: () => readonly FleetInstance[];
  /** Receives errors of background work. */
  onFailure: (err: unknown) => void;
}

/**
 * Relay of one process. It follows a watcher of its data centre, and is a watcher while others ask
 * it. Nothing rests on who watches: the word that is passed on carries its age, and a follower whose
 * word gets too old asks the store by itself.
 *
 * @example
 * const relay = new StoreRelay({ instance, configurationIdleMs, clock, log, calls, instances });
 * mesh.handle('followStore', (request) => relay.answer(request));
 */
export class StoreRelay extends ChangeRelay {
  readonly #clock: Clock;
  readonly #freshMs: number;
  readonly #knowledge = new WatchKnowledge();
  readonly #duty: WatchDuty;
  readonly #follower: PeerFollower;

  constructor({ instance, configurationIdleMs, ...ports }: StoreRelayPorts) {
    super();
    this.#clock = ports.clock;
    this.#freshMs = FRESH_PART * configurationIdleMs;
    this.#duty = new WatchDuty(ports.clock, this.#knowledge, this.#freshMs);
    this.#follower = new PeerFollower({
      ...ports,
      knowledge: this.#knowledge,
      choice: new WatcherChoice(instance),
      isFollowed: () => this.#duty.isActive,
      maxAgeMs: this.#freshMs + FOLLOWER_MARGIN_MS,
      onAnswer: () => {
        this.#duty.wake();
      },
    });
  }

  /** Instance through which this one follows the store; undefined if it asks the store. */
  get watcher(): string | undefined {
    return this.#follower.watcher;
  }

  /** Number of instances that wait for changes here. */
  get followers(): number {
    return this.#duty.waiting;
  }

  /** Answers another instance. */
  answer(request: FollowRequest): Promise<Result<FollowAnswer, string>> {
    const answer = this.#duty.answer(request);
    this.#follower.recheck();
    return answer;
  }

  /** Refuses followers, who turn to the next watcher at once. */
  beginStop(): void {
    this.#duty.stop();
  }

  override follow(watch: RelayedWatch): Promise<void> {
    return this.#follower.follow(watch);
  }

  override idleMs(collection: string, idleMs: number): number {
    if (!this.#duty.isActive) return idleMs;
    const { ageMs } = this.#knowledge.of(collection, this.#clock.now());
    const waitMs = Math.max(MIN_WAIT_MS, this.#freshMs - ageMs);
    return Math.min(idleMs, waitMs + SILENCE_MS);
  }

  override recordList(collection: string, version: string): void {
    this.#knowledge.recordList(collection, version, this.#clock.now());
    this.#duty.wake();
  }

  override recordChanges(
    collection: string,
    from: string,
    to: string,
    changes: readonly WireChange[],
  ): void {
    this.#knowledge.recordChanges(collection, { from, to, changes }, this.#clock.now());
    this.#duty.wake();
  }

  override recordSilence(collection: string): void {
    this.#knowledge.recordSilence(collection);
    this.#duty.wake();
  }
}
