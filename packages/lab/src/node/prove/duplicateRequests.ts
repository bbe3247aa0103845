/** Callers that send one request, with its key or ticket, to routers of several data centres. */

import type { PlannedRequest } from '../../types/load.js';
import type { CallerLog } from './callerLog.js';
import type { TicketedRequest } from '../loadGenerator/index.js';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from '../../runtime/random.js';
import { callRouter } from '../loadGenerator/index.js';
import { proveAccounts, proveMix } from './proveDeclarations.js';

/** Options of {@link runDuplicateRequests}. */
export interface DuplicateRequestOptions {
  entryUrls: readonly string[];
  /** Prefix of each key, unique among the calls of a run. */
  label: string;
  seed: number;
  /** Seconds during which requests start. */
  seconds: number;
  perSecond: number;
  log: CallerLog;
}

/** Delays before the request is sent to the second router, and after both to the third. */
const SECOND_AFTER_MS = 40;
const THIRD_AFTER_MS = 1_000;
const TIMEOUT_MS = 12_000;
const MS_PER_SECOND = 1_000;

/** Sends each request to up to three routers; resolves to the number of requests. */
export async function runDuplicateRequests(options: DuplicateRequestOptions): Promise<number> {
  const random = createRandom(options.seed);
  const identified = proveMix.filter((item) => item.naming !== 'none');
  const count = Math.floor(options.seconds * options.perSecond);
  const running: Promise<void>[] = [];
  for (let number = 0; number < count; number += 1) {
    const item = random.pick(identified);
    const account = random.pickWeighted(proveAccounts);
    const firstTarget = random.int(0, options.entryUrls.length - 1);
    const request: PlannedRequest = {
      number,
      atMs: 0,
      account,
      firstTarget,
      item,
      key: `${options.label}-${number}`,
      stream: item.type === 'chat' && random.chance(item.streamShare),
      behaviour: 'ordinary',
      hangUpAfter: 0,
      prompt: `twin ${options.label} ${number}`,
    };
    running.push(sendDuplicates(options, request));
    await delay(MS_PER_SECOND / options.perSecond);
  }
  await Promise.all(running);
  return count;
}

async function sendDuplicates(
  { entryUrls, log }: DuplicateRequestOptions,
  request: PlannedRequest,
): Promise<void> {
  const caller: TicketedRequest = { request, ticket: undefined };
  const send = async (offset: number): Promise<void> => {
    const url = entryUrls[(request.firstTarget + offset) % entryUrls.length] ?? '';
    log.add(request, await callRouter(caller, url, TIMEOUT_MS));
  };
  const first = send(0);
  await delay(SECOND_AFTER_MS);
  // without the ticket, the second call would be a different request.
  const isIdentified = request.item.naming === 'key' || caller.ticket !== undefined;
  const second = isIdentified ? send(1) : undefined;
  await Promise.all([first, second]);
  await delay(THIRD_AFTER_MS);
  if (isIdentified) await send(2);
}
