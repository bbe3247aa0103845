/** Open-loop load generator whose callers retry requests and check the answers. */

import type { AttemptOutcome, LoadOptions, LoadResult, PlannedRequest } from '../../types/load.js';
import { setTimeout as delay } from 'node:timers/promises';
import { runInBackground } from '@flamingocourse/kernel';
import { endOnFailure } from '../../utils/endOnFailure.js';
import { z } from 'zod';
import { planLoad } from '../../runtime/loadPlan.js';
import { LoadRecorder } from '../../runtime/loadRecorder.js';
import {
  callerHeaders,
  toFailureEnd,
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
 * Runs the load; resolves when all requests have ended.
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
    runInBackground(() => caller.finally(() => inFlight.delete(caller)), endOnFailure);
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
  let end: AttemptOutcome = { type: 'unreachable' };
  for (let attempt = 0; attempt < settings.maxAttempts; attempt += 1) {
    end = await callNextRouter(caller, attempt);
    recorder.attempt(request, attempt, end);
    settings.onAttempt?.(request, end);
    const waitMs = retryWaitMs(request, end, settings);
    if (waitMs === undefined || attempt + 1 === settings.maxAttempts) break;
    await delay(waitMs);
  }
  recorder.finished(request, end, startedAt, performance.now());
}

/** A request with the ticket that all its attempts send. */
export interface TicketedRequest {
  request: PlannedRequest;
  ticket: string | undefined;
}

interface Caller extends TicketedRequest {
  settings: Settings;
}

/** Sends one attempt to the next router in round-robin order; never throws. */
function callNextRouter(caller: Caller, attempt: number): Promise<AttemptOutcome> {
  const { request, settings } = caller;
  const { targets } = settings;
  const url = targets[(request.firstTarget + attempt) % targets.length]?.url ?? '';
  return callRouter(caller, url, settings.timeoutMs);
}

/**
 * Sends a request to one router; never throws. First obtains a ticket if the request needs one and
 * has none yet.
 */
export async function callRouter(
  caller: TicketedRequest,
  url: string,
  timeoutMs: number,
): Promise<AttemptOutcome> {
  const signal = AbortSignal.timeout(timeoutMs);
  try {
    if (caller.request.item.naming === 'ticket' && caller.ticket === undefined) {
      const refusal = await obtainTicket(caller, url, signal);
      if (refusal) return refusal;
    }
    return await dispatch(caller, url, signal);
  } catch (err) {
    return toFailureEnd(err);
  }
}

function dispatch(
  { request, ticket }: TicketedRequest,
  url: string,
  signal: AbortSignal,
): Promise<AttemptOutcome> {
  const { item } = request;
  if (item.type === 'chat') return callChat(url, { ...request, item }, ticket, signal);
  return callService(url, { ...request, item }, ticket, signal);
}

/** Obtains a ticket, which all attempts then send. Returns the refusal if the router refuses it. */
async function obtainTicket(
  caller: TicketedRequest,
  url: string,
  signal: AbortSignal,
): Promise<AttemptOutcome | undefined> {
  const headers = callerHeaders(caller.request, undefined);
  const res = await sendCall({ method: 'POST', url: `${url}/v1/tickets`, headers, signal });
  const text = await readText(res);
  const parsed = ticketSchema.safeParse(parseJson(text)).data;
  if (res.statusCode !== TICKET_STATUS || !parsed) return parseRefusal(text, res);
  caller.ticket = parsed.ticket;
  return undefined;
}

/** Delay before the next attempt in milliseconds; `undefined` if the caller does not retry. */
function retryWaitMs(
  { item }: PlannedRequest,
  end: AttemptOutcome,
  settings: Settings,
): number | undefined {
  switch (end.type) {
    case 'answer':
    case 'hung-up':
      return undefined;
    case 'broken':
      // without a key or ticket, a retried entry could run as a second entry.
      return item.type === 'entry' && item.naming === 'none' ? undefined : RECONNECT_MS;
    case 'unreachable':
      return RECONNECT_MS;
    case 'refused':
      if (end.retryAfterMs === undefined) return undefined;
      return end.retryAfterMs <= settings.maxRetryAfterMs ? end.retryAfterMs : undefined;
  }
}

/** Waits until an arrival is due; returns false if the run was aborted. */
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
