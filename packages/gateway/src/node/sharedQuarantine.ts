/** What the quarantine of one instance learns, told to all instances and kept for those to come. */

import type {
  Fingerprint,
  FleetNews,
  ProvenCause,
  QuarantineEvent,
  QuarantineState,
} from '@flamingocourse/core';
import type { QuarantineExchange, QuarantineNews } from '@flamingocourse/router';
import type { GatewayContext } from '../types/context.js';
import type { KeptCauses } from './keptCauses.js';
import type { NewsService } from './newsService.js';
import { provenCauses } from '@flamingocourse/core';

/** Requests in one piece of news. */
const MAX_IN_FLIGHT = 256;
/** Crashes with a request in flight after which the others have to hear at once that it finished. */
const URGENT_CRASHES = 2;
/** Requests of which an instance remembers that it had them in flight at a crash. */
const MAX_REPORTED = 512;

type Crash = Extract<QuarantineEvent, { type: 'crashed' }>;

/** Carries the quarantine's events as news of the fleet, and its causes to the store. */
export class SharedQuarantine implements QuarantineExchange {
  readonly #context: GatewayContext;
  readonly #news: NewsService;
  readonly #causes: KeptCauses;
  /** Requests that this instance had in flight at a crash, the last ones last. */
  readonly #reported = new Set<Fingerprint>();

  constructor(context: GatewayContext, news: NewsService, causes: KeptCauses) {
    this.#context = context;
    this.#news = news;
    this.#causes = causes;
  }

  publish(event: QuarantineEvent, state: QuarantineState): void {
    if (event.type === 'crashed') this.#publishCrash(event, state);
    if (event.type !== 'finished') return;
    const { crashes = [] } = state.entries[event.fingerprint] ?? {};
    // after one more crash others would take it for a cause.
    this.#news.publish(event, crashes.length >= URGENT_CRASHES ? 'now' : 'later');
    this.#causes.forget(event.fingerprint);
  }

  /** Those write it down that had it in flight themselves: a few, of however many instances. */
  quarantined(fingerprint: Fingerprint, state: QuarantineState): void {
    this.#context.metrics.quarantined();
    if (this.#reported.has(fingerprint)) this.#keep([fingerprint], state);
  }

  onNews(listener: (news: QuarantineNews) => void): void {
    this.#news.onNews(({ news, at }) => {
      // whoever knows the stored cause takes it out, wherever its request finished.
      if (news.type === 'finished') this.#causes.forget(news.fingerprint);
      listener({ type: 'event', event: toEvent(news), at });
    });
    this.#causes.onCause((cause) => {
      const at = this.#now();
      for (const event of toCrashes(cause)) listener({ type: 'event', event, at });
    });
  }

  #publishCrash({ server, inFlight }: Crash, state: QuarantineState): void {
    for (let from = 0; from < inFlight.length; from += MAX_IN_FLIGHT) {
      const part = inFlight.slice(from, from + MAX_IN_FLIGHT);
      this.#news.publish({ type: 'crashed', server, inFlight: part });
    }
    this.#keep(inFlight, state);
    this.#remember(inFlight);
    if (this.#news.missesPeers) this.#causes.look();
  }

  #keep(fingerprints: readonly Fingerprint[], state: QuarantineState): void {
    const causes = provenCauses(state, fingerprints, this.#now());
    for (const cause of causes) this.#causes.keep(cause);
  }

  #remember(fingerprints: readonly Fingerprint[]): void {
    for (const fingerprint of fingerprints) {
      this.#reported.delete(fingerprint);
      this.#reported.add(fingerprint);
    }
    for (const oldest of this.#reported) {
      if (this.#reported.size <= MAX_REPORTED) break;
      this.#reported.delete(oldest);
    }
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

function toEvent(news: FleetNews): QuarantineEvent {
  return news.type === 'crashed' ? { ...news, isShared: true } : news;
}

function toCrashes({ fingerprint, servers }: ProvenCause): Crash[] {
  return servers.map((server) => {
    return { type: 'crashed', server, inFlight: [fingerprint], isShared: true };
  });
}
