/** Closes a connection as soon as its caller has ended it. */

import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Closes each connection of a server when the caller ends it. By default, Node.js closes it only
 * after its own FIN was sent, some event loop iterations later, and meanwhile keeps working for a
 * caller that has disconnected.
 *
 * @example
 * closeOnCallerEnd(createServer(handle)).listen(8_080);
 */
export function closeOnCallerEnd(server: Server): Server {
  server.on('connection', (socket: Socket) => {
    socket.on('end', () => {
      // a response that was written but not flushed yet is still delivered.
      if (socket.writableLength === 0) socket.destroy();
    });
  });
  return server;
}
