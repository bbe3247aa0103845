/** Where a request may begin or go on with its stream. */

import type { ServiceName, StreamSoftware } from '@flamingocourse/core';

/** How an instance knows what began a stream that a caller takes up again. */
export type OriginSource =
  /** The stream began here, or its origin was told to this instance. */
  'own' | 'peer' | 'nobody';

/** What a request may run at, by what its caller already has of the stream. */
export interface StreamStart {
  software: StreamSoftware;
  /** The only service that may go on; undefined if the route decides. */
  service?: ServiceName;
  /** Undefined if the request takes up no stream. */
  source?: OriginSource;
  /** Milliseconds for which other instances were asked. */
  askedMs?: number;
}
