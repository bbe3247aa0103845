/**
 * Shares the quarantine events of one instance with all instances, and stores proven causes for instances
 * that start later.
 */

import type {
  Fingerprint,
  GossipFact,
  ProvenCrashCause,
  QuarantineEvent,
  QuarantineState,
} from '@flamingocourse/core';
import type { QuarantineExchange, QuarantineUpdate } from '@flamingocourse/router';
import type { GatewayContext } from '../types/context.js';
import type { StoredCrashCauses } from './storedCrashCauses.js';
import type { GossipService } from './gossipService.js';
import { isPartFingerprint, provenCrashCauses, entryOf } from '@flamingocourse/core';

/** Maximum number of requests in one gossip fact. */
const MAX_REQUESTS_PER_ITEM = 256;
/** Number of crashes with a request in flight from which its completion is sent to the others at once. */
const URGENT_CRASH_COUNT = 2;
/** Maximum number of requests that an instance remembers to have had in flight at a crash. */
const MAX_REMEMBERED = 512;

/** Milliseconds between the crashes of a stored cause, whose times are not stored, so that each counts. */
const STORED_CRASH_INTERVAL_MS = 1_000;

type Crash = Extract<QuarantineEvent, { type: 'crashed' }>;

/** Sends the events of the quarantine to the fleet, and its proven causes to the store. */
export class SharedQuarantine implements QuarantineExchange {
  readonly #context: GatewayContext;
  readonly #gossip: GossipService;
  readonly #causes: StoredCrashCauses;
  /** Requests that this instance had in flight at a crash, oldest first. */
  readonly #inFlightAtCrash = new Set<Fingerprint>();

  constructor(context: GatewayContext, gossip: GossipService, causes: StoredCrashCauses) {
    this.#context = context;
    this.#gossip = gossip;
    this.#causes = causes;
  }

  publish(event: QuarantineEvent, state: QuarantineState): void {
    if (event.type === 'crashed') this.#publishCrash(event, state);
    if (event.type !== 'finished') return;
    const { crashes = [] } = entryOf(state.entries, event.fingerprint) ?? {};
    // after one more crash, other instances would take the request for the cause.
    const isUrgent = crashes.length >= URGENT_CRASH_COUNT;
    // a part that others share finishes at their instances as well.
    if (isUrgent || !isPartFingerprint(event.fingerprint)) {
      this.#gossip.publish(event, isUrgent ? 'now' : 'later');
    }
    this.#causes.remove(event.fingerprint);
  }

  /**
   * Only instances that had the request in flight themselves store the cause, so the number of writes does
   * not grow with the fleet.
   */
  quarantined(fingerprint: Fingerprint, state: QuarantineState): void {
    this.#context.metrics.quarantined();
    if (this.#inFlightAtCrash.has(fingerprint)) this.#saveCauses([fingerprint], state);
  }

  onUpdate(listener: (news: QuarantineUpdate) => void): void {
    this.#gossip.onFact(({ news, at }) => {
      // every instance that knows the stored cause removes it, wherever the request finished.
      if (news.type === 'finished') this.#causes.remove(news.fingerprint);
      listener({ type: 'event', event: toEvent(news), at });
    });
    this.#causes.onCause((cause) => {
      const now = this.#now();
      for (const [n, event] of toCrashes(cause).entries()) {
        listener({ type: 'event', event, at: now - n * STORED_CRASH_INTERVAL_MS });
      }
    });
  }

  #publishCrash({ server, inFlight }: Crash, state: QuarantineState): void {
    for (let from = 0; from < inFlight.length; from += MAX_REQUESTS_PER_ITEM) {
      const part = inFlight.slice(from, from + MAX_REQUESTS_PER_ITEM);
      this.#gossip.publish({ type: 'crashed', server, inFlight: part });
    }
    this.#saveCauses(inFlight, state);
    this.#remember(inFlight);
    if (this.#gossip.hasUnreachablePeers) this.#causes.refresh();
  }

  #saveCauses(fingerprints: readonly Fingerprint[], state: QuarantineState): void {
    const causes = provenCrashCauses(state, fingerprints, this.#now());
    for (const cause of causes) this.#causes.save(cause);
  }

  #remember(fingerprints: readonly Fingerprint[]): void {
    for (const fingerprint of fingerprints) {
      this.#inFlightAtCrash.delete(fingerprint);
      this.#inFlightAtCrash.add(fingerprint);
    }
    for (const oldest of this.#inFlightAtCrash) {
      if (this.#inFlightAtCrash.size <= MAX_REMEMBERED) break;
      this.#inFlightAtCrash.delete(oldest);
    }
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

function toEvent(fact: GossipFact): QuarantineEvent {
  return fact.type === 'crashed' ? { ...fact, isShared: true } : fact;
}

function toCrashes({ fingerprint, servers }: ProvenCrashCause): Crash[] {
  return servers.map((server) => {
    return { type: 'crashed', server, inFlight: [fingerprint], isShared: true };
  });
}
