/** Runs all measurements sequentially, so that they do not affect each other. */

import type { CostLine, CostLines, Progress } from './types.js';
import { measureFleets } from './fleetCosts.js';
import { measureJournal } from './journalCosts.js';
import { measurePages } from './ledgerCosts.js';
import { measureAccounts, measureCalls, measureRequests, measureStreams } from './routerCosts.js';
import { measureDecisions } from './routingCosts.js';

/** Measures all cost lines that the model uses; takes about five minutes. */
export async function measureSlopes(seed: number, onProgress: Progress): Promise<CostLines> {
  onProgress('journal, pages, placement and queue in this process');
  const lines: CostLine[] = [
    ...measureJournal(),
    ...measurePages(),
    ...measureDecisions(seed),
    ...(await measureRequests(seed, onProgress)),
    ...(await measureStreams(seed, onProgress)),
    ...(await measureAccounts(onProgress)),
    ...(await measureCalls(seed, onProgress)),
    ...(await measureFleets(onProgress)),
  ];
  return new Map(lines.map((line) => [line.name, line]));
}
