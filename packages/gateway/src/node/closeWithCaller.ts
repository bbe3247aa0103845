/** Ends a connection as soon as its caller has ended it. */

import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Closes each connection of a server when its other side ends it. By itself the server waits until its own
 * end was sent, some turns of the event loop later, and works on for a caller who has left.
 *
 * @example
 * closeWithCaller(createServer(handle)).listen(8_080);
 */
export function closeWithCaller(server: Server): Server {
  server.on('connection', (socket: Socket) => {
    socket.on('end', () => {
      // an answer that was written and is on its way still is delivered first.
      if (socket.writableLength === 0) socket.destroy();
    });
  });
  return server;
}
