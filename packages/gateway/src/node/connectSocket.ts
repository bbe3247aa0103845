/** Opens plain TCP connections. */

import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { onTimeout } from '@flamingocourse/kernel';
import { Result } from 'true-myth';

/** Connection to open. */
export interface ConnectOptions {
  host: string;
  port: number;
  /** Milliseconds until the connection must be open. */
  timeoutMs: number;
  /** Ends the attempt. */
  signal: AbortSignal;
}

/** Why a connection was not opened: `refused` by its address, `aborted` by the signal. */
export type ConnectFault = 'refused' | 'failed' | 'timeout' | 'aborted';

/**
 * Connects to an address. The socket is half-open, and its errors are handled; each is followed by
 * `close`.
 *
 * @example
 * const socket = await connectSocket({ host, port, timeoutMs: 150, signal });
 */
export function connectSocket(options: ConnectOptions): Promise<Result<Socket, ConnectFault>> {
  const { host, port, timeoutMs, signal } = options;
  if (signal.aborted) return Promise.resolve(Result.err('aborted'));
  const socket = connect({ host, port, allowHalfOpen: true, noDelay: true });
  return new Promise((resolve) => {
    const end = (result: Result<Socket, ConnectFault>): void => {
      stopTimer();
      signal.removeEventListener('abort', onAbort);
      if (result.isErr) socket.destroy();
      resolve(result);
    };
    const onAbort = (): void => {
      end(Result.err('aborted'));
    };
    const stopTimer = onTimeout(timeoutMs, () => {
      end(Result.err('timeout'));
    });
    signal.addEventListener('abort', onAbort);
    socket.once('connect', () => {
      end(Result.ok(socket));
    });
    // after the connection was opened, 'close' follows.
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      end(Result.err(code === 'ECONNREFUSED' ? 'refused' : 'failed'));
    });
  });
}
