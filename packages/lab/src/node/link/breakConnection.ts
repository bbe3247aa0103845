import type { Socket } from 'node:net';

/**
 * Closes a connection with a TCP reset if the runtime can send one. While the end of the local side
 * is still pending, a reset fails with EINVAL: the connection then stays open for good, and the
 * process loops at its exit waiting for it. Such a connection is destroyed instead.
 *
 * @example
 * breakConnection(socket);
 */
export function breakConnection(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
