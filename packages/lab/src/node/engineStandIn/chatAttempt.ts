/** One attempt to answer a chat request, run by the scheduler token by token. */

import type { ServerResponse } from 'node:http';
import type { AnswerTask } from '../../runtime/answerText.js';
import type { Sequence } from './batchScheduler.js';
import type { ChatRequest, ChatUsage } from './chatRequest.js';
import type { ChatWriter } from './chatWriter.js';
import { createChatWriter, StreamWriter } from './chatWriter.js';

/** Answer and token counts of an attempt, and the callbacks of the engine. */
export interface AttemptPlan {
  task: AnswerTask;
  prefillMs: number;
  promptTokens: number;
  cachedTokens: number;
  /** Called before each token; returns false if nothing more may be written. */
  beforeToken(): boolean;
  afterToken(): void;
  onFinish(): void;
}

/** Writes the words of an answer that the caller has not received yet. */
export class ChatAttempt implements Sequence {
  readonly priority: number;
  readonly prefillMs: number;
  readonly #plan: AttemptPlan;
  readonly #writer: ChatWriter;
  readonly #end: number;
  #next: number;

  constructor(res: ServerResponse, id: string, request: ChatRequest, plan: AttemptPlan) {
    this.priority = request.priority;
    this.prefillMs = plan.prefillMs;
    this.#plan = plan;
    this.#next = plan.task.delivered;
    this.#end = Math.min(plan.task.words.length, plan.task.delivered + request.max_tokens);
    this.#writer = createChatWriter(res, id, request);
  }

  writeToken(): boolean {
    if (!this.#plan.beforeToken()) return true;
    const word = this.#plan.task.words[this.#next];
    if (word !== undefined && this.#next < this.#end) {
      this.#writer.token(this.#next === 0 ? word : ` ${word}`);
      this.#next += 1;
      this.#plan.afterToken();
    }
    if (this.#next < this.#end) return false;
    this.#writer.finish(this.#reason(), this.#usage());
    this.#plan.onFinish();
    return true;
  }

  /** Last token event of a stream, as sent; empty if there is none. */
  get lastEvent(): string {
    return this.#writer instanceof StreamWriter ? this.#writer.lastToken : '';
  }

  /** Sends an event again; does nothing if the answer is not a stream. */
  resend(event: string): void {
    if (this.#writer instanceof StreamWriter) this.#writer.resend(event);
  }

  #reason(): 'stop' | 'length' {
    return this.#end === this.#plan.task.words.length ? 'stop' : 'length';
  }

  #usage(): ChatUsage {
    const written = this.#next - this.#plan.task.delivered;
    return {
      prompt_tokens: this.#plan.promptTokens,
      completion_tokens: written,
      total_tokens: this.#plan.promptTokens + written,
      prompt_tokens_details: { cached_tokens: this.#plan.cachedTokens },
    };
  }
}
