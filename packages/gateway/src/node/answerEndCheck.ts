/** Verifies that a response without a length was ended by its server, and not by the end of a process. */

import type { Duplex } from 'node:stream';
import type { BackendServer } from '@flamingocourse/core';
import type { ServerAgent } from './serverAgent.js';
import type { ServerPaths } from './serverPaths.js';
import { staysOpen } from '@flamingocourse/kernel';

/** Knows by which path a connection was opened, and opens another one by the same path. */
export type ConnectionPaths = Pick<ServerPaths, 'carrierOf' | 'connectBeside'>;

/**
 * Checks whether the processes on the path of an ended connection are still running. The operating
 * system ends the connections of a killed process in order, as the process itself would at the end of a
 * response. So the end is the server's own only if another connection on the same path stays open.
 *
 * @example
 * if (await check.isOwnEnd(connection, server)) deliver(body);
 */
export class AnswerEndCheck {
  readonly #agent: ServerAgent;
  readonly #paths: ConnectionPaths;

  constructor(agent: ServerAgent, paths: ConnectionPaths) {
    this.#agent = agent;
    this.#paths = paths;
  }

  /** Returns false if it cannot be shown that the server itself has ended the connection. */
  async isOwnEnd(ended: Duplex, server: BackendServer): Promise<boolean> {
    const carrier = this.#paths.carrierOf(ended);
    const others = this.#agent.openConnections(server.url).filter((connection) => {
      return connection !== ended && this.#paths.carrierOf(connection) === carrier;
    });
    if (await staysOpen(() => others)) return true;
    const opened = await this.#paths.connectBeside(ended, server);
    if (opened === undefined) return false;
    const isOpen = await staysOpen(() => [opened]);
    opened.destroy();
    return isOpen;
  }
}
