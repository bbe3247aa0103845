/**
 * Distinguishes a crashed server from a lost connection by whether it still accepts connections.
 */

import type { BackendServer } from '@flamingocourse/core';
import type { ServerAgent } from './serverAgent.js';
import type { ServerPaths } from './serverPaths.js';
import { staysOpen } from '@flamingocourse/kernel';
import { CrashCheck } from '@flamingocourse/router';
import { serverAddress } from '../utils/serverAddress.js';
import { openDirect } from './directConnection.js';

/** Connection timeout, in milliseconds. An unreachable server does not count as ended. */
const CONNECT_MS = 500;

/** Result of a connection attempt. */
type ConnectResult = 'accepted' | 'refused' | 'unreachable';

/** Knows by which path a server is reached, and asks peers whether they can connect to it. */
export type PeerCheck = Pick<ServerPaths, 'isTunnelled' | 'askPeers'>;

/**
 * Checks whether other connections to the server are still open, and tries to open one if there is
 * none. In a partition the network may refuse connections, so a refusal counts only if peers can't
 * connect either. A server that is reached through peers has ended if it refuses theirs.
 *
 * @example
 * if (await new ConnectionCheck(agent, paths).hasEnded(server)) suspectAllInFlight();
 */
export class ConnectionCheck extends CrashCheck {
  readonly #agent: ServerAgent;

  readonly #peers: PeerCheck;

  constructor(agent: ServerAgent, peers: PeerCheck) {
    super();
    this.#agent = agent;
    this.#peers = peers;
  }

  override async hasEnded(server: BackendServer): Promise<boolean> {
    if (await staysOpen(() => this.#agent.openConnections(server.url))) return false;
    if (this.#peers.isTunnelled(server)) return (await this.#peers.askPeers(server)) === 'refused';
    if ((await tryConnection(server.url)) !== 'refused') return false;
    return (await this.#peers.askPeers(server)) !== 'accepted';
  }
}

async function tryConnection(url: string): Promise<ConnectResult> {
  const opened = await openDirect(serverAddress(url), CONNECT_MS);
  if (opened.isErr) return opened.error.code === 'ECONNREFUSED' ? 'refused' : 'unreachable';
  opened.value.destroy();
  return 'accepted';
}
