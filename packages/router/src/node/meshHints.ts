/**
 * Hints to the peers of the own data centre, by topic. A hint may be lost, late or doubled: it only
 * spares requests or time, and no promise rests on it.
 */

import type { MeshClient, MeshServer } from '@flamingocourse/mesh';
import type { Fleet } from '../types/fleet.js';
import { Result } from 'true-myth';

/** Sends and receives hints. */
export class MeshHints {
  readonly #client: MeshClient;
  readonly #fleet: () => Fleet;
  readonly #listeners = new Map<string, ((value: unknown) => void)[]>();

  /** @param fleet looked up late, because the fleet starts after this object is made. */
  constructor(client: MeshClient, fleet: () => Fleet) {
    this.#client = client;
    this.#fleet = fleet;
  }

  /** Sends a value to all peers of the own data centre, without waiting. */
  publish(topic: string, value: unknown): void {
    const hints = [{ topic, body: JSON.stringify(value) }];
    for (const { info } of this.#fleet().localPeers()) {
      const { meshUrl, incarnation } = info;
      // a lost hint is made good by the next one, which carries the whole state again.
      void this.#client.call({ meshUrl, incarnation }, 'shareHints', { hints });
    }
  }

  /** Calls back with each value of a topic; the listener checks its shape. */
  on(topic: string, listener: (value: unknown) => void): void {
    this.#listeners.set(topic, [...(this.#listeners.get(topic) ?? []), listener]);
  }

  /** Takes hints from peers. */
  serve(mesh: MeshServer): void {
    mesh.handle('shareHints', ({ hints }) => {
      for (const { topic, body } of hints) this.#take(topic, body);
      return Result.ok('taken');
    });
  }

  #take(topic: string, body: string): void {
    const value = parseBody(body);
    if (value === undefined) return;
    for (const listener of this.#listeners.get(topic) ?? []) listener(value);
  }
}

function parseBody(body: string): unknown {
  try {
    return JSON.parse(body) as unknown;
  } catch {
    return undefined;
  }
}
