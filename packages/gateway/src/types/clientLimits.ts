/** Bounds on what the clients of all listeners make the process hold. */

/** Listeners of an instance. */
export type ListenerName = 'entry' | 'ready' | 'metrics' | 'mesh';

/** The settings `limits`; times are in milliseconds. */
export interface ClientLimits {
  /** Open connections of each listener. */
  connections: Readonly<Record<ListenerName, number>>;
  /** Size of a head, and of the trailers of a body, in bytes. */
  headBytes: number;
  /**
   * Bytes that are held for all clients of all listeners: heads, bodies, requests sent ahead, and answers
   * until they are read.
   */
  heldBytes: number;
  /** Time for a head, where the configuration names none. */
  headMs: number;
  /** Time for a body at the listeners whose requests have no time limit. */
  bodyMs: number;
  /** Time for which a connection stays open without a request, where the configuration names none. */
  idleMs: number;
  /** Time for which an answer may stay unread without any of it being read. */
  unreadMs: number;
}
