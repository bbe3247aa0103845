/** Tunnels: raw bytes between an instance and a server, carried by a peer of the instance. */

import type { Socket } from 'node:net';

/**
 * Why a peer refused a tunnel. `unavailable`: it has no room or is stopping. `not-listed`: it
 * doesn't list the server. `server-refused`: the server's address refused its connection.
 * `server-unreachable`: it could not connect to the server for another reason. `not-trusted`: the
 * shared secret doesn't match. `other`: any other answer.
 */
export type TunnelRefusal =
  'unavailable' | 'not-listed' | 'server-refused' | 'server-unreachable' | 'not-trusted' | 'other';

/** A CONNECT request of a trusted peer, not answered yet. */
export interface TunnelRequest {
  /** Id of the server, as the peer sent it. */
  target: string;
  /** Connection to the peer. Its errors are handled; each is followed by `close`. */
  socket: Socket;
  /** Bytes that arrived behind the request. */
  head: Buffer;
}

/**
 * Answers a request with `acceptTunnel` or `refuseTunnel`, now or later. From the call on, the
 * socket belongs to the handler.
 */
export type TunnelHandler = (request: TunnelRequest) => void;

/** Tunnel to open. */
export interface TunnelOptions {
  /** `http://host:port` of the peer's mesh listener. */
  peerUrl: string;
  /** Id of the server. */
  target: string;
  /** Milliseconds until the peer must have answered. */
  timeoutMs: number;
  /**
   * Whether the socket stays writable after the server has ended its side, as for
   * `net.createConnection`.
   *
   * @default false
   */
  allowHalfOpen?: boolean;
}
