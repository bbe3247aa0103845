/** How an instance tells another one news. */

import type { FleetInstance, NewsMessage } from '@flamingocourse/core';
import type { Result } from 'true-myth';

/** Carries news to another instance and its answer back. */
export abstract class NewsCalls {
  /** Never rejects; takes a bounded time. The error says why there is no answer; the message may have arrived. */
  abstract exchange(
    peer: FleetInstance,
    message: NewsMessage,
  ): Promise<Result<NewsMessage, string>>;
}
