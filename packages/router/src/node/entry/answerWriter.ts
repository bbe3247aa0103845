/** Writes an answer to one caller's connection, at that caller's own pace. */

import type { Refusal } from '@flamingocourse/core';
import type { ServerResponse } from 'node:http';
import type { ChatRequest, CallerRequest } from './callerRequest.js';
import type { Execution } from './executionTable.js';
import type { AnswerEnd, Usage } from './liveAnswer.js';
import { retryAfterSeconds, statusOf, toProblem } from '../../utils/problem.js';

const MS_PER_SECOND = 1_000;
const REQUEST_ID_HEADER = 'flamingocourse-request-id';
/** A caller whose wait ended may ask again for the answer of a request that goes on, after this. */
const STILL_RUNNING_RETRY_MS = 500;

/** Limits of one connection. */
export interface WriterLimits {
  /** Longest time that the caller may leave its answer unread, in milliseconds. */
  slowReaderMs: number;
  now: () => number;
}

/**
 * Sends the whole answer, or a refusal as soon as the caller's deadline has passed. The caller's
 * own slowness or disappearance never reaches the execution, except that it stops waiting for it.
 */
export async function writeAnswer(
  request: CallerRequest,
  execution: Execution,
  res: ServerResponse,
  limits: WriterLimits,
): Promise<void> {
  const detach = execution.answer.attach();
  res.on('close', detach);
  try {
    const streaming = request.type === 'chat' && request.stream;
    if (streaming) await streamChat(request, execution, res, limits);
    else await sendWhole(request, execution, res, limits);
  } finally {
    detach();
  }
}

/** Writes a finished answer that no execution stands behind. */
export function writeEnd(
  request: CallerRequest,
  end: AnswerEnd,
  text: string,
  requestId: string,
  res: ServerResponse,
): void {
  if (res.headersSent || res.destroyed) return;
  if (end.type === 'refused') {
    writeRefusal(res, end.refusal, requestId);
    return;
  }
  res.setHeader(REQUEST_ID_HEADER, requestId);
  if (end.type === 'plain') {
    res.writeHead(end.status, {
      'content-type': end.contentType,
      'content-length': end.body.length,
    });
    res.end(end.body);
    return;
  }
  if (request.type !== 'chat') return;
  const body = JSON.stringify(wholeCompletion(request, requestId, text, end));
  res.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'flamingocourse-class': request.workClass.name,
  });
  res.end(body);
}

/** Writes a refusal as problem+json. */
export function writeRefusal(res: ServerResponse, refusal: Refusal, requestId?: string): void {
  if (res.headersSent || res.destroyed) return;
  const body = JSON.stringify(toProblem(refusal, requestId));
  const retryAfter = retryAfterSeconds(refusal);
  res.writeHead(statusOf(refusal), {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    ...(requestId === undefined ? {} : { [REQUEST_ID_HEADER]: requestId }),
    ...(retryAfter === undefined ? {} : { 'retry-after': retryAfter }),
  });
  res.end(body);
}

async function sendWhole(
  request: CallerRequest,
  execution: Execution,
  res: ServerResponse,
  limits: WriterLimits,
): Promise<void> {
  const { answer } = execution;
  while (!answer.end) {
    const inTime = await waitForMore(request, execution, answer.parts.length, limits);
    if (res.destroyed) return;
    if (!inTime) {
      writeRefusal(res, giveUp(execution), answer.requestId);
      return;
    }
  }
  writeEnd(request, answer.end, answer.parts.join(''), answer.requestId, res);
}

async function streamChat(
  request: ChatRequest,
  execution: Execution,
  res: ServerResponse,
  limits: WriterLimits,
): Promise<void> {
  const { answer } = execution;
  let sent = 0;
  for (;;) {
    const inTime = await waitForMore(request, execution, sent, limits);
    if (res.destroyed) return;
    if (!inTime) {
      endStreamWithRefusal(res, giveUp(execution), answer.requestId);
      return;
    }
    if (sent === 0 && answer.end?.type === 'refused') {
      writeRefusal(res, answer.end.refusal, answer.requestId);
      return;
    }
    openStream(request, res, answer.requestId);
    const parts = answer.parts.slice(sent);
    const events = parts.map((text, index) => deltaEvent(request, execution, sent + index, text));
    sent += parts.length;
    if (!(await writeAtPace(res, events.join(''), limits.slowReaderMs))) return;
    if (answer.end && sent === answer.parts.length) {
      finishStream(request, execution, answer.end, res);
      return;
    }
  }
}

function openStream(request: ChatRequest, res: ServerResponse, requestId: string): void {
  if (res.headersSent) return;
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    [REQUEST_ID_HEADER]: requestId,
    'flamingocourse-class': request.workClass.name,
  });
}

function finishStream(
  request: ChatRequest,
  execution: Execution,
  end: AnswerEnd,
  res: ServerResponse,
): void {
  if (end.type === 'refused') {
    endStreamWithRefusal(res, end.refusal, execution.answer.requestId);
    return;
  }
  if (end.type !== 'chat') return;
  const { requestId } = execution.answer;
  const last = chunk(request, requestId, [
    { index: 0, delta: {}, finish_reason: end.finishReason },
  ]);
  res.write(dataEvent(last));
  if (request.includeUsage) {
    res.write(dataEvent({ ...chunk(request, requestId, []), usage: usageOf(end.usage) }));
  }
  res.end('data: [DONE]\n\n');
}

// an answer that ends without [DONE] is none; the error event says why and what to do.
function endStreamWithRefusal(res: ServerResponse, refusal: Refusal, requestId: string): void {
  if (!res.headersSent) {
    writeRefusal(res, refusal, requestId);
    return;
  }
  res.end(`event: error\ndata: ${JSON.stringify(toProblem(refusal, requestId))}\n\n`);
}

/** Waits for more of the answer; false once the caller's deadline has passed. */
async function waitForMore(
  request: CallerRequest,
  execution: Execution,
  seen: number,
  limits: WriterLimits,
): Promise<boolean> {
  const remaining = request.deadline - limits.now();
  let timer: NodeJS.Timeout | undefined;
  const deadline = new Promise<false>((resolve) => {
    timer = setTimeout(resolve, Math.max(0, remaining), false);
  });
  const more = execution.answer.beyond(seen).then(() => true);
  const inTime = await Promise.race([more, deadline]);
  clearTimeout(timer);
  return inTime;
}

/**
 * The caller's deadline has passed. A request that nobody else waits for and that has not been
 * dispatched is stopped first, so that "not run" is true when it is said.
 */
function giveUp(execution: Execution): Refusal {
  if (!execution.dispatched && execution.answer.readers <= 1) {
    execution.abort.abort();
    return {
      reason: 'deadline-passed',
      run: execution.soleRun ? 'not-run' : 'unknown',
      detail: 'The deadline passed before a backend server was free.',
      retryAfterMs: STILL_RUNNING_RETRY_MS,
    };
  }
  return {
    reason: 'deadline-passed',
    run: 'unknown',
    detail: 'The deadline passed; retry with the same key or ticket to get the answer.',
    retryAfterMs: STILL_RUNNING_RETRY_MS,
  };
}

/** Writes and waits until the caller has taken enough; false when it is gone or too slow. */
async function writeAtPace(
  res: ServerResponse,
  text: string,
  slowReaderMs: number,
): Promise<boolean> {
  if (text === '' || res.write(text)) return true;
  const drained = await new Promise<boolean>((resolve) => {
    const timer = setTimeout(resolve, slowReaderMs, false);
    const settle = (value: boolean): void => {
      clearTimeout(timer);
      resolve(value);
    };
    res.once('drain', () => {
      settle(true);
    });
    res.once('close', () => {
      settle(false);
    });
  });
  // the memory behind an unread answer is bounded by cutting off the reader, not the engine.
  if (!drained) res.destroy();
  return drained;
}

function deltaEvent(
  request: ChatRequest,
  execution: Execution,
  index: number,
  text: string,
): string {
  const delta = index === 0 ? { role: 'assistant', content: text } : { content: text };
  const choices = [{ index: 0, delta, finish_reason: null }];
  return dataEvent(chunk(request, execution.answer.requestId, choices));
}

function dataEvent(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

function chunk(request: ChatRequest, requestId: string, choices: unknown[]): object {
  return {
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion.chunk',
    created: Math.floor(request.receivedAt / MS_PER_SECOND),
    model: request.body.model,
    choices,
  };
}

function wholeCompletion(
  request: ChatRequest,
  requestId: string,
  text: string,
  end: AnswerEnd & { type: 'chat' },
): object {
  const message = { role: 'assistant', content: text };
  return {
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion',
    created: Math.floor(request.receivedAt / MS_PER_SECOND),
    model: request.body.model,
    choices: [{ index: 0, message, finish_reason: end.finishReason }],
    usage: usageOf(end.usage),
  };
}

function usageOf(usage: Usage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}
