/** Interface that checks whether a server crashed after its connection was lost. */

import type { BackendServer } from '@flamingocourse/core';

/** What became of a server whose connection was lost. */
export type ServerAfterLoss =
  /** Its process has ended. */
  | 'ended'
  /** Other connections to it stay open, so its process is the same as before. */
  | 'same-process'
  /** No sign that it has ended; it may have started again meanwhile. */
  | 'unclear';

/** Distinguishes a server whose process has ended from one that only lost a connection. */
export abstract class CrashCheck {
  /** Never rejects and completes in bounded time. */
  abstract check(server: BackendServer): Promise<ServerAfterLoss>;
}
