/** Messages between a run and the processes of its servers. */

import type { SeenRequest } from '../platform/fakeServer.js';

/** What a run asks of a server: to send no more copies and resets, or to tell what it saw. */
export type ServerCommand = 'stop-faults' | 'collect';

export type ServerNotice =
  | { kind: 'listening'; address: string }
  | {
      kind: 'collected';
      /** Times are milliseconds since `timeOrigin`. */
      seen: SeenRequest[];
      /** Start of the monotonic clock of the process, in milliseconds since 1970. */
      timeOrigin: number;
      copies: number;
    };
