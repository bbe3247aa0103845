/** Closes the connection of a request that has ended while its caller still sends the body. */

import type { IncomingMessage } from 'node:http';
import { MIN_COUNTED_BYTES, onTimeout } from '@flamingocourse/kernel';

/** Milliseconds for the rest of the body; the caller reads the response in this time. */
const REST_MS = 500;
/** Maximum size of the rest that is read, in bytes. */
const MAX_REST_BYTES = 1024 * 1024;

/**
 * Closes the connection unless the body of the request ends soon. A body without end would otherwise be
 * read for as long as its caller sends it.
 */
export function closeIfUnread(req: IncomingMessage): void {
  if (req.complete || req.destroyed) return;
  let bytes = 0;
  req.on('data', (chunk: Buffer) => {
    bytes += Math.max(chunk.length, MIN_COUNTED_BYTES);
    // a close at once could reset the connection before the caller has read the response.
    if (bytes > MAX_REST_BYTES) req.pause();
  });
  const stopTimer = onTimeout(REST_MS, () => {
    if (!req.complete) req.socket.destroy();
  });
  req.once('close', stopTimer);
}
