/** Writes an answer to the caller, as a stream of chunks or as one body at the end. */

import type { ServerResponse } from 'node:http';
import type { ChatRequest, ChatUsage } from './chatRequest.js';
import { sendJson } from '../httpStandIn.js';

/** Why an answer ended. */
export type FinishReason = 'stop' | 'length';

/** Writes one answer. */
export abstract class ChatWriter {
  abstract token(text: string): void;
  abstract finish(reason: FinishReason, usage: ChatUsage): void;
}

/** Creates a streaming or a non-streaming writer, as the request specifies. */
export function createChatWriter(
  res: ServerResponse,
  id: string,
  request: ChatRequest,
): ChatWriter {
  return request.stream ? new StreamWriter(res, id, request) : new WholeWriter(res, id, request);
}

/** Writes one server-sent event per token, numbered so that readers can drop duplicates. */
export class StreamWriter extends ChatWriter {
  readonly #res: ServerResponse;
  readonly #id: string;
  readonly #request: ChatRequest;
  #events = 0;
  #lastToken = '';

  constructor(res: ServerResponse, id: string, request: ChatRequest) {
    super();
    this.#res = res;
    this.#id = id;
    this.#request = request;
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': id,
    });
    res.flushHeaders();
  }

  /** Last token event as sent, with its number and id; empty before the first token. */
  get lastToken(): string {
    return this.#lastToken;
  }

  override token(text: string): void {
    this.#lastToken = this.#write([{ index: 0, delta: { content: text }, finish_reason: null }]);
  }

  override finish(reason: FinishReason, usage: ChatUsage): void {
    this.#write([{ index: 0, delta: {}, finish_reason: reason }]);
    if (this.#request.stream_options?.include_usage) this.#write([], usage);
    this.#res.end('data: [DONE]\n\n');
  }

  /** Sends an event again that was sent earlier, in this stream or in another. */
  resend(event: string): void {
    if (!this.#res.destroyed) this.#res.write(event);
  }

  #write(choices: unknown[], usage?: ChatUsage): string {
    const model = this.#request.model;
    const chunk = {
      id: this.#id,
      object: 'chat.completion.chunk',
      created: 0,
      model,
      choices,
      usage,
    };
    const event = `id: ${this.#events}\ndata: ${JSON.stringify(chunk)}\n\n`;
    this.#events += 1;
    if (!this.#res.destroyed) this.#res.write(event);
    return event;
  }
}

/** Writes one JSON body when the answer is complete. */
class WholeWriter extends ChatWriter {
  readonly #res: ServerResponse;
  readonly #id: string;
  readonly #request: ChatRequest;
  #text = '';

  constructor(res: ServerResponse, id: string, request: ChatRequest) {
    super();
    this.#res = res;
    this.#id = id;
    this.#request = request;
  }

  override token(text: string): void {
    this.#text += text;
  }

  override finish(reason: FinishReason, usage: ChatUsage): void {
    const message = { role: 'assistant', content: this.#text };
    const choices = [{ index: 0, message, finish_reason: reason }];
    const model = this.#request.model;
    const body = { id: this.#id, object: 'chat.completion', created: 0, model, choices, usage };
    sendJson(this.#res, 200, body, { 'x-request-id': this.#id });
  }
}
