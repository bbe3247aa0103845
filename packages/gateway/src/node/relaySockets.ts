/** Carries bytes between two sockets as if they were one connection. */

import type { Socket } from 'node:net';
import { hasLostPeer, onTimeout } from '@flamingocourse/kernel';

/**
 * Milliseconds for which a connection may stay open after one side has ended it; at least the
 * longest time limit of a request.
 */
const HALF_CLOSED_MS = 30_000;
/** Milliseconds of silence after which the other end is probed, so that a vanished one is noticed. */
const KEEP_ALIVE_MS = 5_000;

/** Options of {@link relaySockets}. */
export interface RelayOptions {
  /** Asked for each chunk from the left socket; once it returns false, both are reset. */
  mayPass?: () => boolean;
}

/**
 * Carries bytes both ways until both sockets are closed. An orderly end of one direction is passed
 * on as such. Any other end of a socket is passed on as a reset, because a response without a length
 * must not look complete when it is not.
 *
 * Both sockets have to be half-open, and errors of both have to be handled.
 *
 * @example
 * relaySockets(caller, server);
 */
export function relaySockets(left: Socket, right: Socket, { mayPass }: RelayOptions = {}): void {
  // ahead of the pipe's own listener, so that nothing of the chunk is passed on.
  left.on('data', () => {
    if (mayPass?.() !== false) return;
    reset(right);
    reset(left);
  });
  passOn(left, right);
  passOn(right, left);
}

function passOn(from: Socket, to: Socket): void {
  from.setKeepAlive(true, KEEP_ALIVE_MS);
  from.once('end', () => {
    if (hasLostPeer(from)) reset(to);
    else to.end();
    const stopTimer = onTimeout(HALF_CLOSED_MS, () => {
      from.resetAndDestroy();
    });
    from.once('close', stopTimer);
  });
  from.once('close', (hadError) => {
    if (hadError || !hasEnded(from)) reset(to);
  });
  from.pipe(to, { end: false });
}

/** Whether both directions ended in order. */
function hasEnded(socket: Socket): boolean {
  return socket.readableEnded && socket.writableFinished;
}

function reset(socket: Socket): void {
  if (!socket.destroyed) socket.resetAndDestroy();
}
