/** Interface that checks whether a server crashed after its connection was lost. */

import type { BackendServer } from '@flamingocourse/core';

/** Distinguishes a server whose process has ended from one that only lost a connection. */
export abstract class CrashCheck {
  /** Whether the server's process has ended. Never rejects and completes in bounded time. */
  abstract hasEnded(server: BackendServer): Promise<boolean>;
}
