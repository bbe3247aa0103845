/** Sockets on which a reset never looks like an orderly end. */

import type { Socket } from 'node:net';
import { FilteredSocket } from './filteredSocket.js';

/**
 * A socket that reports each reset as an error.
 *
 * Node.js emits `end` and no error when a reset arrives while bytes are unread: libuv reads the rest
 * and takes the hang-up for an end. A response without a length would then look complete.
 *
 * @example
 * const socket = new ResetAwareSocket().connect(port, host);
 */
export class ResetAwareSocket extends FilteredSocket {
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !hasLostPeer(this)) return super.push(chunk, encoding);
    this.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }));
    return false;
  }
}

/**
 * Returns at the moment of an end whether it was a reset: the operating system then no longer knows
 * the peer. Recognizes no reset after `remoteAddress` was read, because sockets keep it, or after the
 * own side was ended, because the peer of a connection that is closed in order isn't known either.
 *
 * @example
 * socket.once('end', () => hasLostPeer(socket) ? fail() : finish());
 */
export function hasLostPeer(socket: Socket): boolean {
  return !socket.writableEnded && socket.remoteAddress === undefined;
}
