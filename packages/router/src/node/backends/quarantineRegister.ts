/** This router's knowledge of requests that crash their servers, shared with peers. */

import type {
  BackendServer,
  Fingerprint,
  QuarantineEvent,
  QuarantineState,
  QuarantineVerdict,
} from '@flamingocourse/core';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { QuarantineExchange, QuarantineNews } from '../../types/backendPorts.js';
import {
  createQuarantine,
  judgeFingerprint,
  serverIncarnationId,
  mergeQuarantines,
  reduceQuarantine,
  refusedForMs,
} from '@flamingocourse/core';

/** Most fingerprints in the line of a crash. */
const MAX_LOGGED = 32;

/** Who sees which requests. */
export interface QuarantineOptions {
  /** Whether requests of other routers run beside this one's at a server. @default false */
  isShared?: boolean;
}

/** Keeps the quarantine's state and tells peers about each crash at once. */
export class QuarantineRegister {
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #exchange: QuarantineExchange;
  readonly #isShared: boolean;
  #state: QuarantineState = createQuarantine();

  constructor(
    clock: Clock,
    log: EventLog,
    exchange: QuarantineExchange,
    { isShared = false }: QuarantineOptions = {},
  ) {
    this.#clock = clock;
    this.#log = log;
    this.#exchange = exchange;
    this.#isShared = isShared;
    exchange.onNews((news) => {
      this.#take(news);
    });
  }

  judge(fingerprint: Fingerprint): QuarantineVerdict {
    return judgeFingerprint(this.#state, fingerprint, this.#clock.now());
  }

  /** Milliseconds for which a request is refused still, where that is known. */
  refusedForMs(fingerprint: Fingerprint): number | undefined {
    const ms = refusedForMs(this.#state, fingerprint, this.#clock.now());
    return ms > 0 ? Math.ceil(ms) : undefined;
  }

  /** A server broke off everything that it ran for this router. */
  crashed(server: BackendServer, inFlight: Fingerprint[]): void {
    this.#log.write('backend-crashed', {
      server: server.id,
      inFlight: inFlight.length,
      fingerprints: inFlight.slice(0, MAX_LOGGED).join(' '),
    });
    this.#tell(
      this.#isShared
        ? { type: 'crashed', server: serverIncarnationId(server), inFlight, isShared: true }
        : { type: 'crashed', server: server.id, inFlight },
    );
  }

  finished(fingerprint: Fingerprint): void {
    if (!this.#state.entries[fingerprint]) return;
    this.#tell({ type: 'finished', fingerprint });
  }

  /** Takes in what this router saw, and tells peers if it changed anything. */
  #tell(event: QuarantineEvent): void {
    const before = this.#state;
    this.#apply(event, this.#clock.now(), 'seen here');
    if (this.#state !== before) this.#exchange.publish(event, this.#state);
  }

  #take(news: QuarantineNews): void {
    if (news.type === 'event') this.#apply(news.event, news.at, 'told by a peer');
    else this.#state = mergeQuarantines(this.#state, news.state, this.#clock.now());
  }

  #apply(event: QuarantineEvent, at: number, evidence: string): void {
    const inFlight = event.type === 'crashed' ? event.inFlight : [];
    const free = inFlight.filter((fingerprint) => this.judge(fingerprint) !== 'quarantined');
    this.#state = reduceQuarantine(this.#state, event, at);
    for (const fingerprint of free) {
      if (this.judge(fingerprint) !== 'quarantined') continue;
      const server = event.type === 'crashed' ? event.server : undefined;
      this.#log.write('request-quarantined', { fingerprint, server, evidence });
      this.#exchange.quarantined?.(fingerprint, this.#state);
    }
  }
}
