/**
 * Relays between data centres. Each data centre connects from its own loopback address, so a relay
 * in front of an instance can cut the connections from one data centre only.
 */

import type { CutMode, Link } from '../link/index.js';
import { createLink } from '../link/index.js';

/** Prefix of the loopback addresses of the data centres; the last byte is the position from 1. */
const ADDRESS_PREFIX = '127.0.1.';

interface Relay {
  link: Link;
  /** Data centre of the instance behind the relay; `undefined` for the platform. */
  dataCentre: string | undefined;
}

/**
 * The network of a fleet on loopback. Connections inside a data centre are never cut.
 *
 * @example
 * const network = new Network(['dc-a', 'dc-b']);
 * const url = await network.relay('http://127.0.0.1:8081', 'dc-a');
 * network.cut('dc-b');
 */
export class Network {
  readonly #dataCentres: readonly string[];
  readonly #relays: Relay[] = [];

  constructor(dataCentres: readonly string[]) {
    this.#dataCentres = dataCentres;
  }

  /** Source address of connections from instances of a data centre. */
  sourceAddress(dataCentre: string): string {
    return `${ADDRESS_PREFIX}${this.#dataCentres.indexOf(dataCentre) + 1}`;
  }

  /**
   * Starts a relay in front of an instance, or of the platform if `dataCentre` is absent, and returns
   * its URL.
   */
  async relay(url: string, dataCentre?: string): Promise<string> {
    const { hostname, port } = new URL(url);
    const link = await createLink({ target: { host: hostname, port: Number(port) } });
    this.#relays.push({ link, dataCentre });
    return link.url;
  }

  /** Partitions a data centre from the others and from the platform, in both directions. */
  cut(dataCentre: string, mode: CutMode = 'silent'): void {
    const others = this.#dataCentres.filter((name) => name !== dataCentre);
    for (const relay of this.#relays) {
      const sources = relay.dataCentre === dataCentre ? others : [dataCentre];
      for (const source of sources) relay.link.setCut(mode, this.sourceAddress(source));
    }
  }

  /** Ends the partition of a data centre. */
  heal(dataCentre: string): void {
    this.cut(dataCentre, 'none');
  }

  async close(): Promise<void> {
    await Promise.all(this.#relays.map(({ link }) => link.close()));
  }
}
