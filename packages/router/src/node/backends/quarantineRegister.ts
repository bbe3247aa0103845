/** Records requests that crash their servers and shares the records with peers. */

import type {
  BackendServer,
  Fingerprint,
  QuarantineEvent,
  QuarantineState,
  QuarantineVerdict,
} from '@flamingocourse/core';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { QuarantineExchange, QuarantineUpdate } from '../../types/backendPorts.js';
import {
  createQuarantine,
  judgeFingerprint,
  serverIncarnationId,
  mergeQuarantines,
  reduceQuarantine,
  refusedForMs,
  entryOf,
} from '@flamingocourse/core';

/** Maximum number of fingerprints in the log line of a crash. */
const MAX_LOGGED_FINGERPRINTS = 32;

/** Options of {@link QuarantineRegister}. */
export interface QuarantineOptions {
  /** Whether servers also run requests of other routers at the same time. @default false */
  isShared?: boolean;
}

/** Holds the quarantine state and reports each crash to peers immediately. */
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
    exchange.onUpdate((update) => {
      this.#applyFromPeer(update);
    });
  }

  /** Whether a request may run, must run alone or is refused. */
  judge(fingerprint: Fingerprint): QuarantineVerdict {
    return judgeFingerprint(this.#state, fingerprint, this.#clock.now());
  }

  /** The first of these fingerprints that is refused; undefined if none is. */
  findQuarantined(fingerprints: readonly Fingerprint[]): Fingerprint | undefined {
    return fingerprints.find((fingerprint) => this.judge(fingerprint) === 'quarantined');
  }

  /** Remaining milliseconds for which a request is refused, if known. */
  refusedForMs(fingerprint: Fingerprint): number | undefined {
    const ms = refusedForMs(this.#state, fingerprint, this.#clock.now());
    return ms > 0 ? Math.ceil(ms) : undefined;
  }

  /** Records that a server crashed while it ran the given requests for this router. */
  recordCrash(server: BackendServer, inFlight: Fingerprint[]): void {
    this.#log.write('backend-crashed', {
      server: server.id,
      inFlight: inFlight.length,
      fingerprints: inFlight.slice(0, MAX_LOGGED_FINGERPRINTS).join(' '),
    });
    this.#applyOwn(
      this.#isShared
        ? { type: 'crashed', server: serverIncarnationId(server), inFlight, isShared: true }
        : { type: 'crashed', server: server.id, inFlight },
    );
  }

  /** Records that requests or parts ran without crashing the server. */
  recordFinished(fingerprints: readonly Fingerprint[]): void {
    for (const fingerprint of fingerprints) {
      if (entryOf(this.#state.entries, fingerprint))
        this.#applyOwn({ type: 'finished', fingerprint });
    }
  }

  /** Applies an event observed by this router and publishes it if it changes the state. */
  #applyOwn(event: QuarantineEvent): void {
    const before = this.#state;
    this.#apply(event, this.#clock.now(), 'seen here');
    if (this.#state !== before) this.#exchange.publish(event, this.#state);
  }

  #applyFromPeer(update: QuarantineUpdate): void {
    if (update.type === 'event') this.#apply(update.event, update.at, 'told by a peer');
    else this.#state = mergeQuarantines(this.#state, update.state, this.#clock.now());
  }

  #apply(event: QuarantineEvent, at: number, evidence: string): void {
    const inFlight = event.type === 'crashed' ? event.inFlight : [];
    const notQuarantined = inFlight.filter(
      (fingerprint) => this.judge(fingerprint) !== 'quarantined',
    );
    this.#state = reduceQuarantine(this.#state, event, at);
    for (const fingerprint of notQuarantined) {
      if (this.judge(fingerprint) !== 'quarantined') continue;
      const server = event.type === 'crashed' ? event.server : undefined;
      this.#log.write('request-quarantined', { fingerprint, server, evidence });
      this.#exchange.quarantined?.(fingerprint, this.#state);
    }
  }
}
