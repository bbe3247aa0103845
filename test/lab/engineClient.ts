/** Test client that reads the streams of the engine stand-in. */

import type { PromptMessage } from '@flamingocourse/lab';
import { createParser } from 'eventsource-parser';

/** What a caller received of one stream. */
export interface SeenStream {
  tokens: string[];
  ids: string[];
  eventNumbers: (string | undefined)[];
  usage: { prompt_tokens: number; completion_tokens: number } | undefined;
  done: boolean;
}

interface Chunk {
  id: string;
  choices: { delta: { content?: string } }[];
  usage?: SeenStream['usage'];
}

export interface ReadOptions {
  body?: Record<string, unknown>;
  requestId?: string;
  /** Aborts the request after this many tokens. */
  stopAfter?: number;
}

/** Requests a stream and reads it until it ends, breaks off or reaches `stopAfter` tokens. */
export async function readStream(
  url: string,
  messages: PromptMessage[],
  options: ReadOptions = {},
): Promise<SeenStream> {
  const seen: SeenStream = { tokens: [], ids: [], eventNumbers: [], usage: undefined, done: false };
  const abort = new AbortController();
  const parser = createParser({
    onEvent: ({ id, data }) => {
      if (data === '[DONE]') seen.done = true;
      else collect(seen, JSON.parse(data) as Chunk, id);
      if (seen.tokens.length === options.stopAfter) abort.abort();
    },
  });
  try {
    const res = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      signal: abort.signal,
      headers: { 'x-request-id': options.requestId ?? 'attempt-1' },
      body: JSON.stringify({
        messages,
        stream: true,
        stream_options: { include_usage: true },
        ...options.body,
      }),
    });
    const decoder = new TextDecoder();
    const parts = (res.body ?? []) as AsyncIterable<Uint8Array>;
    for await (const part of parts) parser.feed(decoder.decode(part, { stream: true }));
  } catch {
    // A broken or aborted stream leaves `done` false.
  }
  return seen;
}

/** Creates a prompt of one user message. */
export function userPrompt(content: string): PromptMessage[] {
  return [{ role: 'user', content }];
}

/** Waits until a condition holds; fails after two seconds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const end = Date.now() + 2_000;
  while (!condition()) {
    if (Date.now() > end)
      throw new Error(`condition was not met within two seconds: ${String(condition)}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

function collect(seen: SeenStream, chunk: Chunk, eventNumber: string | undefined): void {
  const content = chunk.choices[0]?.delta.content;
  if (content !== undefined) {
    seen.tokens.push(content);
    seen.ids.push(chunk.id);
    seen.eventNumbers.push(eventNumber);
  }
  if (chunk.usage) seen.usage = chunk.usage;
}
