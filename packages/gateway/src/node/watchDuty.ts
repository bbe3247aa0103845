/** Answers other instances that follow the store through this one. */

import type { FollowAnswer, FollowedCollection, FollowRequest } from '@flamingocourse/core';
import type { Clock } from '@flamingocourse/kernel';
import type { WatchKnowledge } from '../runtime/watchKnowledge.js';
import { Result } from 'true-myth';
import { isNewer } from '@flamingocourse/store';

/** Milliseconds after the last question for which this instance watches the store for others. */
const DUTY_MS = 5_000;
/** Maximum number of waiting calls. */
const MAX_WAITING = 64;
/**
 * Maximum length of changes that are passed on, in UTF-16 code units of JSON. Larger ones would fill
 * the network of the one that passes them on; the store has room for all.
 */
const MAX_CHANGES_LENGTH = 16_384;
/** Milliseconds for which a call waits at most, whatever it asks for. */
const MAX_WAIT_MS = 5_000;

/** Duty of watching the store for peers; whoever is asked has it. */
export class WatchDuty {
  readonly #clock: Clock;
  readonly #knowledge: WatchKnowledge;
  readonly #freshMs: number;
  readonly #wakers = new Set<() => void>();
  #askedAt = -Infinity;
  #isStopped = false;

  /** @param freshMs age of the word from which a watch without an answer of the store counts. */
  constructor(clock: Clock, knowledge: WatchKnowledge, freshMs: number) {
    this.#clock = clock;
    this.#knowledge = knowledge;
    this.#freshMs = freshMs;
  }

  /** Whether peers follow the store through this instance. */
  get isActive(): boolean {
    return this.#clock.now() - this.#askedAt < DUTY_MS;
  }

  /** Number of peers whose call waits for changes. */
  get waiting(): number {
    return this.#wakers.size;
  }

  /** Checks all waiting calls, because the store answered or ceased to. */
  wake(): void {
    for (const waker of this.#wakers) waker();
  }

  /** Refuses all further calls. */
  stop(): void {
    this.#isStopped = true;
    this.wake();
  }

  /** Answers once there are changes or the time is over. */
  async answer(request: FollowRequest): Promise<Result<FollowAnswer, string>> {
    const beganAt = this.#clock.now();
    const endsAt = beganAt + Math.min(request.waitMs, MAX_WAIT_MS);
    if (this.#wakers.size >= MAX_WAITING) return Result.err('too many instances follow this one');
    this.#askedAt = beganAt;
    for (;;) {
      if (this.#isStopped) return Result.err('this instance is stopping');
      const now = this.#clock.now();
      if (this.#hearsNothing(request, now)) return Result.err('the store does not answer here');
      const collections = this.#collections(request, now);
      if (now >= endsAt || Object.values(collections).some(isNews)) {
        this.#askedAt = now;
        return Result.ok({ collections, heldMs: now - beganAt });
      }
      await this.#wait(endsAt - now);
    }
  }

  /** A single call that breaks is sent again at once, so it does not count yet. */
  #hearsNothing({ positions }: FollowRequest, now: number): boolean {
    return Object.keys(positions).some((name) => {
      const { isSilent, ageMs } = this.#knowledge.of(name, now);
      return isSilent && ageMs > this.#freshMs;
    });
  }

  #collections({ positions }: FollowRequest, now: number): FollowAnswer['collections'] {
    const known = Object.entries(positions).flatMap(([name, version]) => {
      const followed = this.#followed(name, version, now);
      return followed === undefined ? [] : [[name, followed] as const];
    });
    return Object.fromEntries(known);
  }

  /** Undefined if nothing is known that the follower does not know. */
  #followed(name: string, position: string, now: number): FollowedCollection | undefined {
    const { version, ageMs, log } = this.#knowledge.of(name, now);
    if (version === undefined || isNewer(position, version)) return undefined;
    const changes = log.since(position);
    const isPassedOn = changes && JSON.stringify(changes).length <= MAX_CHANGES_LENGTH;
    return isPassedOn ? { version, ageMs, changes } : 'ask-store';
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.#wakers.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      this.#wakers.add(finish);
    });
  }
}

function isNews(followed: FollowedCollection): boolean {
  return followed === 'ask-store' || followed.changes.length > 0;
}
