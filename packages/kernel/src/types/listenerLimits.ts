/** Bounds on what the clients of a listener make the process hold. */

/** Limits of one listener; times are in milliseconds. */
export interface ListenerLimits {
  /** Open connections; further ones take the place of those that wait longest for their client. */
  connections: number;
  /** Size of the head of one request, and of the trailers of its body, in bytes. */
  headBytes: number;
  /** Time from the first byte of a head to its last one. */
  headMs: number;
  /** Time from the end of a head to the end of the body; undefined where requests have time limits. */
  bodyMs?: number | undefined;
  /** Time for which a connection stays open without a request. */
  idleMs: number;
  /** Time for which an answer may stay unread without any of it being read. */
  unreadMs: number;
}
