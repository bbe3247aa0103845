import type { Socket } from 'node:net';

/**
 * Breaks a connection with a reset where the runtime can send one. While its own end is still on its way
 * a reset is refused (EINVAL), the connection then stays open for good, and the process spins at its end
 * waiting for it; such a connection is closed instead.
 *
 * @example
 * breakConnection(socket);
 */
export function breakConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
