/** Tells a crash from a lost connection by whether the server still takes connections. */

import type { BackendServer } from '@flamingocourse/core';
import type { ServerAgent } from './serverAgent.js';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { onTimeOver, pendingReads } from '@flamingocourse/kernel';
import { CrashCheck } from '@flamingocourse/router';

/** Milliseconds for the connection; a server that is out of reach has not shown that it ended. */
const CONNECT_MS = 500;

/** Looks at the other connections, and milliseconds between two of them. */
const LOOKS = 3;
const LOOK_MS = 20;

/** How an address takes a connection. */
type ConnectionEnd = 'taken' | 'refused' | 'out-of-reach';

/**
 * Looks whether other connections to the server are open still, and opens one if there is none.
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

  /** When a process ends all of its connections do, but their ends come one after the other. */
  async #staysConnected(host: string, port: string): Promise<boolean> {
    await pendingReads();
    for (let looks = 1; looks < LOOKS && this.#agent.isConnectedTo(host, port); looks += 1) {
      await delay(LOOK_MS);
      await pendingReads();
    }
    return this.#agent.isConnectedTo(host, port);
  }
}

function tryConnection(host: string, port: number): Promise<ConnectionEnd> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (how: ConnectionEnd): void => {
      stopTimer();
      resolve(how);
      socket.destroy();
    };
    const stopTimer = onTimeOver(CONNECT_MS, () => {
      end('out-of-reach');
    });
    socket.once('connect', () => {
      end('taken');
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      end(code === 'ECONNREFUSED' ? 'refused' : 'out-of-reach');
    });
  });
}
