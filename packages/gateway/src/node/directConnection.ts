/** Opens a connection of this instance's own. */

import type { NetConnectOpts, Socket } from 'node:net';
import { FilteredSocket, onTimeout } from '@flamingocourse/kernel';
import { Result } from 'true-myth';

/**
 * Connects, or reports the error with which that failed.
 *
 * @example
 * const connected = await openDirect({ host: '10.0.0.4', port: 8423 }, 250);
 * if (connected.isErr && connected.error.code === 'ECONNREFUSED') noProcessListens();
 */
export function openDirect(
  options: NetConnectOpts,
  timeoutMs: number,
): Promise<Result<Socket, NodeJS.ErrnoException>> {
  return new Promise((resolve) => {
    const socket = new FilteredSocket(options).connect(options);
    const end = (result: Result<Socket, NodeJS.ErrnoException>): void => {
      stopTimer();
      socket.off('connect', succeed);
      socket.off('error', fail);
      resolve(result);
    };
    const succeed = (): void => {
      end(Result.ok(socket));
    };
    const fail = (err: NodeJS.ErrnoException): void => {
      socket.destroy();
      end(Result.err(err));
    };
    const stopTimer = onTimeout(timeoutMs, () => {
      fail(Object.assign(new Error('connect timeout'), { code: 'ETIMEDOUT' }));
    });
    socket.once('connect', succeed);
    socket.once('error', fail);
  });
}
