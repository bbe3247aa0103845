/** Opens tunnels: asks a peer with HTTP CONNECT to carry bytes to a server. */

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { TunnelOptions } from '../types/tunnels.js';
import { request } from 'node:http';
import { ResetAwareSocket, onTimeout } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { TunnelError } from '../utils/tunnelError.js';
import { secretHeader } from './meshHeaders.js';
import { refusalOfStatus } from './tunnelAnswers.js';

const statusOpen = 200;

/** Options of all tunnels of a client. */
export interface TunnelClientOptions {
  secret?: string | undefined;
  /** Local IP address of connections. @default chosen by the operating system */
  localAddress?: string | undefined;
}

/**
 * Opens a tunnel. The socket behaves like a direct connection to the server; its errors are
 * handled, and each is followed by `close`.
 *
 * @example
 * const tunnel = await openTunnel({ peerUrl, target: 'server-7', timeoutMs: 250 });
 * if (tunnel.isOk) tunnel.value.write(bytes);
 */
export function openTunnel(
  { peerUrl, target, timeoutMs, allowHalfOpen = false }: TunnelOptions,
  { secret, localAddress }: TunnelClientOptions = {},
): Promise<Result<Socket, TunnelError>> {
  const { hostname, port } = new URL(peerUrl);
  const local = localAddress === undefined ? {} : { localAddress };
  const address = { host: hostname, port: Number(port), ...local };
  // a socket of its own for each tunnel, with no agent that would keep it.
  const socket = new ResetAwareSocket({ allowHalfOpen }).setNoDelay(true).connect(address);
  const req = request({
    method: 'CONNECT',
    path: encodeURIComponent(target),
    headers: secret === undefined ? {} : { [secretHeader]: secret },
    createConnection: () => socket,
  });
  return new Promise((resolve) => {
    const fail = (error: TunnelError): void => {
      stopTimer();
      socket.destroy();
      resolve(Result.err(error));
    };
    const stopTimer = onTimeout(timeoutMs, () => {
      fail(new TunnelError('timeout', `no answer from ${peerUrl} in ${String(timeoutMs)} ms`));
    });
    req.on('error', (cause) => {
      fail(new TunnelError('unreachable', `no connection to ${peerUrl}`, { cause }));
    });
    // any other answer than to CONNECT, such as a status 100, is followed by this event or an error.
    req.on('connect', ({ statusCode }: IncomingMessage, _stream, head: Buffer) => {
      socket.on('error', ignoreError);
      if (statusCode !== statusOpen) {
        fail(refusedBy(peerUrl, statusCode));
        return;
      }
      stopTimer();
      if (head.length > 0) socket.unshift(head);
      resolve(Result.ok(socket));
    });
    req.end();
  });
}

function refusedBy(peerUrl: string, status: number | undefined): TunnelError {
  const refusal = refusalOfStatus(status);
  const message = `${peerUrl} refused the tunnel: ${refusal} (${String(status)})`;
  return new TunnelError('refused', message, { refusal });
}

/** For a socket whose errors need no handling, because each is followed by `close`. */
function ignoreError(): void {
  // see above.
}
