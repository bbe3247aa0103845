/** Callers that send the same named request to routers of several data centres. */

import type { PlannedRequest } from '../../types/load.js';
import type { CallerLog } from './callerLog.js';
import type { TicketedRequest } from '../loadGenerator/index.js';
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom } from '../../runtime/random.js';
import { callRouter } from '../loadGenerator/index.js';
import { proveAccounts, proveMix } from './proveDeclarations.js';

/** Options of {@link runTwins}. */
export interface TwinOptions {
  entryUrls: readonly string[];
  /** Unique among the calls of a run; begins each key. */
  label: string;
  seed: number;
  /** Time over which the requests begin. */
  seconds: number;
  perSecond: number;
  log: CallerLog;
}

/** Wait before the same request goes to a second router, and after both before the third. */
const SECOND_AFTER_MS = 40;
const THIRD_AFTER_MS = 1_000;
const TIMEOUT_MS = 12_000;
const MS_PER_SECOND = 1_000;

/** Sends each request to three routers; resolves to the number of requests. */
export async function runTwins(options: TwinOptions): Promise<number> {
  const random = createRandom(options.seed);
  const named = proveMix.filter((item) => item.naming !== 'none');
  const count = Math.floor(options.seconds * options.perSecond);
  const running: Promise<void>[] = [];
  for (let number = 0; number < count; number += 1) {
    const item = random.pick(named);
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
    running.push(sendTwins(options, request));
    await delay(MS_PER_SECOND / options.perSecond);
  }
  await Promise.all(running);
  return count;
}

async function sendTwins({ entryUrls, log }: TwinOptions, request: PlannedRequest): Promise<void> {
  const caller: TicketedRequest = { request, ticket: undefined };
  const send = async (place: number): Promise<void> => {
    const url = entryUrls[(request.firstTarget + place) % entryUrls.length] ?? '';
    log.add(request, await callRouter(caller, url, TIMEOUT_MS));
  };
  const first = send(0);
  await delay(SECOND_AFTER_MS);
  // without its ticket the second call would be another request.
  const isNamed = request.item.naming === 'key' || caller.ticket !== undefined;
  const second = isNamed ? send(1) : undefined;
  await Promise.all([first, second]);
  await delay(THIRD_AFTER_MS);
  if (isNamed) await send(2);
}
