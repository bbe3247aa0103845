/** Writes an answer to one caller's connection, at the rate at which that caller reads. */

import type { Refusal } from '@flamingocourse/core';
import type { ServerResponse } from 'node:http';
import type { ChatRequest, CallerRequest } from './callerRequest.js';
import type { Execution } from './executionTable.js';
import type { AnswerEnd, Usage } from './liveAnswer.js';
import { retryAfterSeconds, statusOf, toProblem } from '../../utils/problem.js';

const MS_PER_SECOND = 1_000;
const REQUEST_ID_HEADER = 'flamingocourse-request-id';
/** Delay before a retry, sent to a caller whose deadline passed while its request may still run. */
const STILL_RUNNING_RETRY_MS = 500;

/** Limits for writing to one connection. */
export interface WriterLimits {
  /** Longest time that the caller may stop reading its answer, in milliseconds. */
  slowReaderMs: number;
  now: () => number;
}

/**
 * Writes the answer of an execution, or a refusal as soon as the caller's deadline has passed. A slow
 * caller does not delay the execution. A caller that disconnects is removed from the answer's
 * readers; the execution stops only if it was the last one and the request has no key or ticket.
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
    if (streaming) await streamAnswer(request, execution, res, limits);
    else await writeWholeAnswer(request, execution, res, limits);
  } finally {
    detach();
  }
}

/** Writes a finished answer in one piece; does nothing if headers were sent or the caller is gone. */
export function writeFinishedAnswer(
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
  const body = JSON.stringify(chatCompletion(request, requestId, text, end));
  res.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'flamingocourse-class': request.workClass.name,
  });
  res.end(body);
}

/** Writes a refusal as problem+json; does nothing if headers were sent or the caller is gone. */
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

async function writeWholeAnswer(
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
      writeRefusal(res, refuseAfterDeadline(execution), answer.requestId);
      return;
    }
  }
  writeFinishedAnswer(request, answer.end, answer.parts.join(''), answer.requestId, res);
}

async function streamAnswer(
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
      endStreamWithRefusal(res, refuseAfterDeadline(execution), answer.requestId);
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
    if (!(await writeWithBackpressure(res, events.join(''), limits.slowReaderMs))) return;
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
  const last = completionChunk(request, requestId, [
    { index: 0, delta: {}, finish_reason: end.finishReason },
  ]);
  res.write(dataEvent(last));
  if (request.includeUsage) {
    res.write(dataEvent({ ...completionChunk(request, requestId, []), usage: usageOf(end.usage) }));
  }
  res.end('data: [DONE]\n\n');
}

// a stream without [DONE] is not a complete answer; the error event carries the reason and whether
// the request ran.
function endStreamWithRefusal(res: ServerResponse, refusal: Refusal, requestId: string): void {
  if (!res.headersSent) {
    writeRefusal(res, refusal, requestId);
    return;
  }
  res.end(`event: error\ndata: ${JSON.stringify(toProblem(refusal, requestId))}\n\n`);
}

/** Waits for parts after `seen` or for the end; false if the caller's deadline passes first. */
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
  const more = execution.answer.waitForMoreThan(seen).then(() => true);
  const inTime = await Promise.race([more, deadline]);
  clearTimeout(timer);
  return inTime;
}

/**
 * Builds the refusal for a caller whose deadline has passed. A request that has not been dispatched
 * and for which no other caller waits is aborted, so that it cannot run after the refusal. The
 * refusal then says "not run", unless another ticket may have run the same key.
 */
function refuseAfterDeadline(execution: Execution): Refusal {
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

/** Writes and waits for the socket to drain; false if the caller disconnects or reads too slowly. */
async function writeWithBackpressure(
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
  // closing the slow reader's connection bounds the memory of unread output; the engine is not
  // slowed down.
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
  return dataEvent(completionChunk(request, execution.answer.requestId, choices));
}

function dataEvent(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

function completionChunk(request: ChatRequest, requestId: string, choices: unknown[]): object {
  return {
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion.chunk',
    created: Math.floor(request.receivedAt / MS_PER_SECOND),
    model: request.body.model,
    choices,
  };
}

function chatCompletion(
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
