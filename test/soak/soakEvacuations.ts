/** Evacuates the data centre of one server now and then, and checks that it gets nothing new meanwhile. */

import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { FakeServer, SeenRequest } from '../platform/fakeServer.js';
import type { FakeStore } from '../platform/fakeStore.js';
import { setTimeout as delay } from 'node:timers/promises';
import { USED_INSTANCE } from '../platform/fakeServer.js';

/** Milliseconds within which an evacuation must take effect, as in the settings of the instances. */
export const EVACUATION_APPLY_MS = 1_500;
/** Milliseconds for which an instance must have been calm; a store that is back is found within these. */
const CALM_MS = 2_500;
/** Data centre of the server; nothing else is there. */
const DATA_CENTRE = 'hall-z';
/** Bounds of the milliseconds that an evacuation stands, and between two of them. */
const STANDS_MS = { min: 2_500, max: 4_500 };
const PAUSE_MS = { min: 300, max: 1_500 };

/** A time in which an evacuation stood, on the monotonic clock. */
export interface EvacuationWindow {
  from: number;
  until: number;
}

/** Whether an instance was neither disturbed nor cut off from the store or servers during a time. */
export type IsCalm = (instance: string, from: number, until: number) => boolean;

/**
 * Returns a line for each request that a calm instance sent to an evacuated server.
 *
 * @param server Id of the server, as the evacuated data centre lists it.
 */
export function brokenEvacuations(
  arrivals: readonly Pick<SeenRequest, 'headers' | 'at'>[],
  windows: readonly EvacuationWindow[],
  server: string,
  isCalm: IsCalm,
): string[] {
  return windows.flatMap(({ from, until }) => {
    const sent = arrivals.filter(({ headers, at }) => {
      const isLate = at > from + EVACUATION_APPLY_MS && at < until;
      const instance = String(headers[USED_INSTANCE]);
      return (
        isLate &&
        headers['x-expect-instance'] === server &&
        isCalm(instance, Math.max(from, at - CALM_MS), at)
      );
    });
    if (sent.length === 0) return [];
    return [`${String(sent.length)} requests reached ${server} in an evacuated data centre`];
  });
}

/**
 * Evacuations of a run.
 *
 * @example
 * const evacuations = new SoakEvacuations(store, server, random);
 * evacuations.start();
 * await evacuations.stop();
 */
export class SoakEvacuations {
  readonly windows: EvacuationWindow[] = [];
  readonly #store: FakeStore;
  readonly #random: Random;
  #isStopped = false;
  #runs = Promise.resolve();

  constructor(
    store: FakeStore,
    readonly server: FakeServer,
    random: Random,
  ) {
    this.#store = store;
    this.#random = random;
    const entry = store.value('servers', server.id) as object;
    store.put('servers', server.id, { ...entry, zone: DATA_CENTRE });
  }

  start(): void {
    this.#runs = this.#run();
  }

  /** Ends the evacuation that stands. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#runs;
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      await delay(this.#random.int(PAUSE_MS.min, PAUSE_MS.max));
      const window = { from: performance.now(), until: Infinity };
      this.#store.put('evacuations', DATA_CENTRE, {});
      this.windows.push(window);
      await delay(this.#random.int(STANDS_MS.min, STANDS_MS.max));
      window.until = performance.now();
      this.#store.remove('evacuations', DATA_CENTRE);
    }
  }
}
