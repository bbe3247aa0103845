/** Recognises requests in flight that may have crashed a server of a lane. */

import type { BackgroundWork } from '@flamingocourse/kernel';
import type { BackendServer, Fingerprint, ServerId } from '@flamingocourse/core';
import type { PlacementOutcome } from '../../types/backends.js';
import type { CrashCheck } from '../../types/crashCheck.js';
import type { QuarantineRegister } from './quarantineRegister.js';
import { InFlightRequests } from './inFlightRequests.js';

/** Reports to the quarantine which requests were in flight at a server when it crashed. */
export class LaneCrashes {
  readonly #inFlight = new InFlightRequests();
  readonly #quarantine: QuarantineRegister;
  readonly #crashCheck: CrashCheck | undefined;
  readonly #onCrash: (server: ServerId) => void;
  readonly #background: BackgroundWork;

  /**
   * @param crashCheck checks servers that break connections; without it, these are only failures.
   * @param onCrash called for each server that has crashed.
   */
  constructor(
    quarantine: QuarantineRegister,
    crashCheck: CrashCheck | undefined,
    onCrash: (server: ServerId) => void,
    background: BackgroundWork,
  ) {
    this.#quarantine = quarantine;
    this.#crashCheck = crashCheck;
    this.#onCrash = onCrash;
    this.#background = background;
  }

  /** Records that an attempt was sent; only from then on can it be the cause of a crash. */
  recordSent(server: ServerId, attempt: number, causes: readonly Fingerprint[]): void {
    this.#inFlight.add(server, attempt, causes);
  }

  /** Records the end of an attempt. */
  recordEnd(
    server: BackendServer,
    attempt: number,
    causes: readonly Fingerprint[],
    how: PlacementOutcome,
  ): void {
    const isFirstReport = this.#inFlight.remove(server.id, attempt);
    if (how === 'ok') this.#quarantine.recordFinished(causes);
    if (!isFirstReport) return;
    if (how === 'crashed') this.#recordCrash(server, causes);
    if (how === 'broken' && this.#inFlight.recordBrokenRequest(server.id, causes)) {
      this.#background.run('backends', () => this.#checkForCrash(server));
    }
  }

  /** Checks whether a server that broke a connection has crashed, and records the crash. */
  async #checkForCrash(server: BackendServer): Promise<void> {
    const hasEnded = await this.#crashCheck?.hasEnded(server);
    const brokenRequests = this.#inFlight.takeBrokenRequests(server.id);
    if (hasEnded) this.#recordCrash(server, brokenRequests);
  }

  #recordCrash(server: BackendServer, brokenRequests: readonly Fingerprint[]): void {
    const others = this.#inFlight.takeAll(server.id);
    this.#onCrash(server.id);
    this.#quarantine.recordCrash(server, [...new Set([...brokenRequests, ...others])]);
  }
}
