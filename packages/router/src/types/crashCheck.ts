/** Finds out whether a server that broke off has crashed. */

import type { BackendServer } from '@flamingocourse/core';

/** Tells a server whose process ended from one that only lost a connection. */
export abstract class CrashCheck {
  /** Whether nothing of the server is there any more; never rejects, and takes a bounded time. */
  abstract hasEnded(server: BackendServer): Promise<boolean>;
}
