/** Load generator: arrivals that do not wait for answers, by callers that retry and check. */

import type { CallEnd, LoadOptions, LoadResult, PlannedRequest } from '../../types/load.js';
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import { planLoad } from '../../runtime/loadPlan.js';
import { LoadRecorder } from '../../runtime/loadRecorder.js';
import {
  callerHeaders,
  failedEnd,
  parseJson,
  parseRefusal,
  readText,
  sendCall,
} from './callerRequest.js';
import { callChat } from './chatCall.js';
import { callService } from './serviceCall.js';

const DEFAULTS = {
  seed: 1,
  maxInFlight: 500,
  maxAttempts: 4,
  timeoutMs: 30_000,
  maxRetryAfterMs: 3_000,
};

const PROGRESS_MS = 1_000;
const RECONNECT_MS = 100;
const TICKET_STATUS = 201;

type Settings = typeof DEFAULTS & LoadOptions;

const ticketSchema = z.object({ ticket: z.string() });

/**
 * Runs the load and waits for the last answer.
 *
 * @example
 * const result = await runLoad({ targets, accounts, mix, ratePerSecond: 20, seconds: 10, seed: 3 });
 * if (result.cut + result.mixed > 0) process.exitCode = 1;
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const settings: Settings = { ...DEFAULTS, ...options };
  const recorder = new LoadRecorder();
  const inFlight = new Set<Promise<void>>();
  const startedAt = performance.now();
  const progress = reportProgress(settings, recorder, inFlight, startedAt);
  for (const request of planLoad(settings)) {
    if (!(await waitForArrival(startedAt + request.atMs, settings.signal))) break;
    if (inFlight.size >= settings.maxInFlight) {
      recorder.notStarted();
      continue;
    }
    const caller = runCaller(settings, request, recorder);
    inFlight.add(caller);
    void caller.finally(() => inFlight.delete(caller));
  }
  await Promise.all(inFlight);
  clearInterval(progress);
  return recorder.result(settings.seed, settings.seconds);
}

async function runCaller(
  settings: Settings,
  request: PlannedRequest,
  recorder: LoadRecorder,
): Promise<void> {
  recorder.started(request);
  const startedAt = performance.now();
  const caller: Caller = { settings, request, ticket: undefined };
  let end: CallEnd = { type: 'unreachable' };
  for (let attempt = 0; attempt < settings.maxAttempts; attempt += 1) {
    end = await callOnce(caller, attempt);
    recorder.attempt(request, attempt, end);
    settings.onAttempt?.(request, end);
    const waitMs = retryWaitMs(request, end, settings);
    if (waitMs === undefined || attempt + 1 === settings.maxAttempts) break;
    await delay(waitMs);
  }
  recorder.finished(request, end, startedAt, performance.now());
}

/** A request with the ticket that all its attempts carry. */
export interface NamedRequest {
  request: PlannedRequest;
  ticket: string | undefined;
}

interface Caller extends NamedRequest {
  settings: Settings;
}

/** One attempt at the next router in turn; never throws. */
function callOnce(caller: Caller, attempt: number): Promise<CallEnd> {
  const { request, settings } = caller;
  const { targets } = settings;
  const url = targets[(request.firstTarget + attempt) % targets.length]?.url ?? '';
  return callRouter(caller, url, settings.timeoutMs);
}

/**
 * Sends a request to one router; never throws. Takes a ticket first where the request needs one and
 * the caller has none yet.
 */
export async function callRouter(
  caller: NamedRequest,
  url: string,
  timeoutMs: number,
): Promise<CallEnd> {
  const signal = AbortSignal.timeout(timeoutMs);
  try {
    if (caller.request.item.naming === 'ticket' && caller.ticket === undefined) {
      const refusal = await takeTicket(caller, url, signal);
      if (refusal) return refusal;
    }
    return await dispatch(caller, url, signal);
  } catch (err) {
    return failedEnd(err);
  }
}

function dispatch(
  { request, ticket }: NamedRequest,
  url: string,
  signal: AbortSignal,
): Promise<CallEnd> {
  const { item } = request;
  if (item.type === 'chat') return callChat(url, { ...request, item }, ticket, signal);
  return callService(url, { ...request, item }, ticket, signal);
}

/** Takes a ticket once; all attempts then carry it. Returns the refusal where there is one. */
async function takeTicket(
  caller: NamedRequest,
  url: string,
  signal: AbortSignal,
): Promise<CallEnd | undefined> {
  const headers = callerHeaders(caller.request, undefined);
  const res = await sendCall({ method: 'POST', url: `${url}/v1/tickets`, headers, signal });
  const text = await readText(res);
  const parsed = ticketSchema.safeParse(parseJson(text)).data;
  if (res.statusCode !== TICKET_STATUS || !parsed) return parseRefusal(text, res);
  caller.ticket = parsed.ticket;
  return undefined;
}

/** Time until an ordinary client tries again; `undefined` where it gives up. */
function retryWaitMs(
  { item }: PlannedRequest,
  end: CallEnd,
  settings: Settings,
): number | undefined {
  switch (end.type) {
    case 'answer':
    case 'hung-up':
      return undefined;
    case 'broken':
      // a repeated entry without a name could not be told from a second entry.
      return item.type === 'entry' && item.naming === 'none' ? undefined : RECONNECT_MS;
    case 'unreachable':
      return RECONNECT_MS;
    case 'refused':
      if (end.retryAfterMs === undefined) return undefined;
      return end.retryAfterMs <= settings.maxRetryAfterMs ? end.retryAfterMs : undefined;
  }
}

/** Waits until an arrival is due; false when the run was ended early. */
async function waitForArrival(at: number, signal: AbortSignal | undefined): Promise<boolean> {
  const waitMs = at - performance.now();
  if (waitMs > 0) await delay(waitMs, undefined, signal ? { signal } : {}).catch(() => undefined);
  return signal?.aborted !== true;
}

function reportProgress(
  settings: Settings,
  recorder: LoadRecorder,
  inFlight: Set<Promise<void>>,
  startedAt: number,
): NodeJS.Timeout {
  return setInterval(() => {
    settings.onProgress?.({
      elapsedMs: performance.now() - startedAt,
      requests: recorder.requests,
      whole: recorder.whole,
      refused: recorder.refused,
      inFlight: inFlight.size,
    });
  }, PROGRESS_MS);
}
