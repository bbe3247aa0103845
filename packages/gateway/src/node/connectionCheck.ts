/**
 * Distinguishes a crashed server from a lost connection by whether it still accepts connections.
 */

import type { BackendServer } from '@flamingocourse/core';
import type { ServerAgent } from './serverAgent.js';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { onTimeout, waitForPendingReads } from '@flamingocourse/kernel';
import { CrashCheck } from '@flamingocourse/router';

/** Connection timeout, in milliseconds. An unreachable server does not count as ended. */
const CONNECT_MS = 500;

/** Number of checks of the other connections. */
const CHECKS = 3;
/** Milliseconds between two checks. */
const CHECK_INTERVAL_MS = 20;

/** Result of a connection attempt. */
type ConnectResult = 'accepted' | 'refused' | 'unreachable';

/**
 * Checks whether other connections to the server are still open, and tries to open one if there is
 * none.
 *
 * @example
 * if (await new ConnectionCheck(agent).hasEnded(server)) suspectAllInFlight();
 */
export class ConnectionCheck extends CrashCheck {
  readonly #agent: ServerAgent;

  constructor(agent: ServerAgent) {
    super();
    this.#agent = agent;
  }

  override async hasEnded({ url }: BackendServer): Promise<boolean> {
    const { hostname, port } = new URL(url);
    if (await this.#staysConnected(hostname, port)) return false;
    return (await tryConnection(hostname, Number(port))) === 'refused';
  }

  /**
   * Returns whether a connection stays open. All connections of a process that ends are closed, but
   * not at the same moment, so the check is repeated.
   */
  async #staysConnected(host: string, port: string): Promise<boolean> {
    await waitForPendingReads();
    for (let checks = 1; checks < CHECKS && this.#agent.isConnectedTo(host, port); checks += 1) {
      await delay(CHECK_INTERVAL_MS);
      await waitForPendingReads();
    }
    return this.#agent.isConnectedTo(host, port);
  }
}

function tryConnection(host: string, port: number): Promise<ConnectResult> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (how: ConnectResult): void => {
      stopTimer();
      resolve(how);
      socket.destroy();
    };
    const stopTimer = onTimeout(CONNECT_MS, () => {
      end('unreachable');
    });
    socket.once('connect', () => {
      end('accepted');
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      end(code === 'ECONNREFUSED' ? 'refused' : 'unreachable');
    });
  });
}
