/** A fake router that answers all requests itself, and wrongly if a test requests it. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:http';
import { text } from 'node:stream/consumers';
import { expectedAnswer, type PromptMessage } from '@flamingocourse/lab';

export interface FakeRouterOptions {
  /** Changes the words of each answer. */
  tamper?: (words: string[]) => string[];
  /** How streams end. */
  end?: 'done' | 'error-event' | 'break';
  /** Refusal bodies for the first calls, one per call. */
  refusals?: object[];
}

/** A running fake router; `keys` are the idempotency keys of its requests, in order. */
export interface FakeRouter {
  url: string;
  keys: string[];
  close(): void;
}

export async function startFakeRouter(options: FakeRouterOptions): Promise<FakeRouter> {
  const keys: string[] = [];
  const refusals = [...(options.refusals ?? [])];
  const server = createServer((req, res) => {
    keys.push(String(req.headers['idempotency-key']));
    void answer(req, res, options, refusals.shift());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    keys,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function answer(
  req: IncomingMessage,
  res: ServerResponse,
  options: FakeRouterOptions,
  refusal: object | undefined,
): Promise<void> {
  const body = await text(req);
  if (refusal) {
    res.writeHead(429).end(JSON.stringify(refusal));
    return;
  }
  const url = new URL(req.url ?? '', 'http://fake');
  if (url.pathname.startsWith('/services/')) {
    const query = Object.fromEntries(url.searchParams);
    const entry = body === '' ? null : (JSON.parse(body) as unknown);
    res.end(JSON.stringify({ query, entry }));
    return;
  }
  const request = JSON.parse(body) as { messages: PromptMessage[]; max_tokens: number };
  const expected = expectedAnswer(request.messages, 0, request.max_tokens).split(' ');
  const words = options.tamper?.(expected) ?? expected;
  if (body.includes('"stream":true')) sendStream(res, words, options.end ?? 'done');
  else res.end(JSON.stringify({ choices: [{ message: { content: words.join(' ') } }] }));
}

function sendStream(res: ServerResponse, words: string[], end: FakeRouterOptions['end']): void {
  res.writeHead(200, { 'content-type': 'text/event-stream' });
  for (const [index, word] of words.entries()) {
    const content = index === 0 ? word : ` ${word}`;
    res.write(`data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`);
  }
  if (end === 'done') res.end('data: [DONE]\n\n');
  else if (end === 'break') setTimeout(() => res.destroy(), 5);
  else res.end('event: error\ndata: {"reason":"backend-failed","run":"unknown"}\n\n');
}
