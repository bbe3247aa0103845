/**
 * Hints between the routers of one data centre, by topic. A hint may be lost, late or duplicated. It
 * only saves requests or time; no guarantee depends on it.
 */

import type { MeshClient, MeshServer } from '@flamingocourse/mesh';
import type { Fleet } from '../types/fleet.js';
import type { BackgroundWork } from '@flamingocourse/kernel';
import { parseJsonText } from '@flamingocourse/kernel';
import { Result } from 'true-myth';

/** Sends hints to peers and delivers received hints to listeners. */
export class MeshHints {
  readonly #client: MeshClient;
  readonly #fleet: () => Fleet;
  readonly #background: BackgroundWork;
  readonly #listeners = new Map<string, ((value: unknown) => void)[]>();

  /** @param fleet called on each use, because the fleet service starts after this constructor. */
  constructor(client: MeshClient, fleet: () => Fleet, background: BackgroundWork) {
    this.#client = client;
    this.#fleet = fleet;
    this.#background = background;
  }

  /** Sends a value to all live peers of the own data centre without waiting for answers. */
  publish(topic: string, value: unknown): void {
    const hints = [{ topic, body: JSON.stringify(value) }];
    for (const { info } of this.#fleet().localPeers()) {
      const { meshUrl, incarnation } = info;
      // No retry: the next hint carries the complete state again.
      this.#background.run('hints', () => {
        return this.#client.call({ meshUrl, incarnation }, 'shareHints', { hints });
      });
    }
  }

  /** Registers a listener for a topic. The listener must validate the values. */
  on(topic: string, listener: (value: unknown) => void): void {
    this.#listeners.set(topic, [...(this.#listeners.get(topic) ?? []), listener]);
  }

  /** Registers the mesh procedure that receives hints from peers. */
  serve(mesh: MeshServer): void {
    mesh.handle('shareHints', ({ hints }) => {
      for (const { topic, body } of hints) this.#deliver(topic, body);
      return Result.ok('taken');
    });
  }

  #deliver(topic: string, body: string): void {
    const value = parseBody(body);
    if (value === undefined) return;
    for (const listener of this.#listeners.get(topic) ?? []) listener(value);
  }
}

function parseBody(body: string): unknown {
  try {
    return parseJsonText(body);
  } catch {
    return undefined;
  }
}
