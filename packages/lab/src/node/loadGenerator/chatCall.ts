/** Sends one attempt of a chat call and compares the answer with the expected one, word by word. */

import type { IncomingMessage } from 'node:http';
import type { AttemptOutcome, ChatMix, PlannedRequest, ReportedUsage } from '../../types/load.js';
import { setTimeout as delay } from 'node:timers/promises';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';
import { checkAnswer, checkBeginning } from '../../runtime/answerCheck.js';
import { expectedAnswer } from '../../runtime/answerText.js';
import {
  callerHeaders,
  parseJson,
  parseRefusal,
  readText,
  requestIdOf,
  sendCall,
} from './callerRequest.js';

const SLOW_READ_MS = 40;

const usageSchema = z
  .object({ prompt_tokens: z.number(), completion_tokens: z.number() })
  .transform((usage) => ({
    promptTokens: usage.prompt_tokens,
    completionTokens: usage.completion_tokens,
  }));

const chunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }).nullish() })),
  usage: usageSchema.nullish(),
});

const completionSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })).min(1),
  usage: usageSchema.nullish(),
});

/** State of a stream that is being read. */
interface StreamState {
  text: string;
  tokens: number;
  firstAt: number;
  done: boolean;
  usage?: ReportedUsage;
  refusal?: AttemptOutcome;
}

/** Sends a chat call to one router and checks the answer. */
export async function callChat(
  url: string,
  request: PlannedRequest & { item: ChatMix },
  ticket: string | undefined,
  signal: AbortSignal,
): Promise<AttemptOutcome> {
  const messages = [{ role: 'user', content: request.prompt }];
  const expected = expectedAnswer(messages, 0, request.item.maxTokens);
  const body = JSON.stringify({
    model: request.item.model,
    messages,
    max_tokens: request.item.maxTokens,
    stream: request.stream,
    ...(request.stream ? { stream_options: { include_usage: true } } : {}),
  });
  const res = await sendCall({
    method: 'POST',
    url: `${url}/v1/chat/completions`,
    headers: callerHeaders(request, ticket),
    body,
    signal,
  });
  if (res.statusCode !== 200) return parseRefusal(await readText(res), res);
  const end = request.stream
    ? await readStream(res, request, expected)
    : await readWhole(res, expected);
  return end.type === 'answer' ? { ...end, ...requestIdOf(res) } : end;
}

async function readWhole(res: IncomingMessage, expected: string): Promise<AttemptOutcome> {
  const text = await readText(res);
  const completion = completionSchema.safeParse(parseJson(text)).data;
  if (!completion) return { type: 'answer', verdict: 'cut', firstAt: performance.now() };
  return {
    type: 'answer',
    verdict: checkAnswer(expected, completion.choices[0]?.message.content ?? ''),
    firstAt: performance.now(),
    ...(completion.usage ? { usage: completion.usage } : {}),
  };
}

async function readStream(
  res: IncomingMessage,
  request: PlannedRequest,
  expected: string,
): Promise<AttemptOutcome> {
  const state: StreamState = { text: '', tokens: 0, firstAt: 0, done: false };
  const parser = createParser({
    onEvent: ({ event, data }) => {
      if (event === 'error') state.refusal = parseRefusal(data);
      else if (data === '[DONE]') state.done = true;
      else addChunk(state, data);
    },
  });
  res.setEncoding('utf8');
  try {
    for await (const part of res as AsyncIterable<string>) {
      parser.feed(part);
      if (request.behaviour === 'slow-reader') await delay(SLOW_READ_MS);
      if (request.behaviour === 'hang-up' && state.tokens >= request.hangUpAfter) break;
    }
  } catch {
    // a broken connection is detected below as a stream without its final event.
  }
  res.destroy();
  return toStreamEnd(state, request, expected);
}

function toStreamEnd(
  state: StreamState,
  request: PlannedRequest,
  expected: string,
): AttemptOutcome {
  if (state.done) {
    const verdict = checkAnswer(expected, state.text);
    const usage = state.usage ? { usage: state.usage } : {};
    return { type: 'answer', verdict, firstAt: state.firstAt, ...usage };
  }
  const verdict = checkBeginning(expected, state.text);
  // words of another answer are reported even if a refusal follows them.
  if (state.refusal && verdict === 'whole') return state.refusal;
  const hungUp = request.behaviour === 'hang-up' && state.tokens >= request.hangUpAfter;
  return { type: hungUp ? 'hung-up' : 'broken', verdict };
}

function addChunk(state: StreamState, data: string): void {
  const chunk = chunkSchema.safeParse(parseJson(data)).data;
  if (!chunk) return;
  const content = chunk.choices[0]?.delta?.content;
  if (content) {
    if (state.tokens === 0) state.firstAt = performance.now();
    state.tokens += 1;
    state.text += content;
  }
  if (chunk.usage) state.usage = chunk.usage;
}
