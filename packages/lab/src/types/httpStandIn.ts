/** Options of every backend server stand-in. */

/** Options that all backend server stand-ins share. */
export interface HttpStandInOptions {
  /** @default '127.0.0.1' */
  host?: string;
  /** 0 takes any free port, which a restart keeps. @default 0 */
  port?: number;
  /** Called on a crash; a process of its own exits here. @default sockets are destroyed */
  onCrash?: () => void;
}
