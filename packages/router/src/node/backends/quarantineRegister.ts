/** This router's knowledge of requests that crash their servers, shared with peers. */

import type { BackendServer, QuarantineState, QuarantineVerdict } from '@flamingocourse/core';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { QuarantineExchange } from '../../types/backendPorts.js';
import {
  createQuarantine,
  judgeFingerprint,
  mergeQuarantines,
  reduceQuarantine,
} from '@flamingocourse/core';

/** Most fingerprints in the line of a crash. */
const MAX_LOGGED = 32;

/** Keeps the quarantine's state and tells peers about each crash at once. */
export class QuarantineRegister {
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #exchange: QuarantineExchange;
  #state: QuarantineState = createQuarantine();

  constructor(clock: Clock, log: EventLog, exchange: QuarantineExchange) {
    this.#clock = clock;
    this.#log = log;
    this.#exchange = exchange;
    exchange.onHint((hint) => {
      this.#state = mergeQuarantines(this.#state, hint, this.#clock.now());
    });
  }

  judge(fingerprint: string): QuarantineVerdict {
    return judgeFingerprint(this.#state, fingerprint, this.#clock.now());
  }

  /** A server broke off everything that it ran for this router. */
  crashed({ id: server }: BackendServer, inFlight: string[]): void {
    const now = this.#clock.now();
    this.#state = reduceQuarantine(this.#state, { type: 'crashed', server, inFlight }, now);
    this.#log.write('backend-crashed', {
      server,
      inFlight: inFlight.length,
      fingerprints: inFlight.slice(0, MAX_LOGGED).join(' '),
    });
    for (const fingerprint of inFlight) {
      if (this.judge(fingerprint) !== 'quarantined') continue;
      this.#log.write('request-quarantined', { fingerprint, server });
    }
    this.#exchange.publish(this.#state);
  }

  finished(fingerprint: string): void {
    if (!this.#state.entries[fingerprint]) return;
    this.#state = reduceQuarantine(
      this.#state,
      { type: 'finished', fingerprint },
      this.#clock.now(),
    );
    this.#exchange.publish(this.#state);
  }
}
