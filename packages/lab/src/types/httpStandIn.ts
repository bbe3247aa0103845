/** Common options of the backend server stand-ins. */

/** Options that all backend server stand-ins share. */
export interface HttpStandInOptions {
  /** @default '127.0.0.1' */
  host?: string;
  /** 0 selects a free port; a restart reuses it. @default 0 */
  port?: number;
  /** Called on a crash; a stand-in in its own process exits here. @default destroys all sockets */
  onCrash?: () => void;
}
